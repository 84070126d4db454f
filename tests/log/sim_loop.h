#pragma once

#include "figwinch/base.h"

#include <functional>
#include <map>
#include <utility>

namespace figwinch {

/// Simulated time: calls run in the order of their instants, equal ones in the order they were
/// made.
class sim_loop {
public:
    const manual_clock& time() const { return time_; }
    instant now() const { return time_.now(); }

    void after(duration delay, std::function<void()> call) {
        queue_.emplace(now() + delay, std::move(call));
    }

    void run_for(duration length) {
        const instant end = now() + length;
        while (!queue_.empty() && queue_.begin()->first <= end) {
            const auto first = queue_.begin();
            time_.advance(first->first - now());
            const std::function<void()> call = std::move(first->second);
            queue_.erase(first);
            call();
        }
        time_.advance(end - now());
    }

private:
    manual_clock time_;
    std::multimap<instant, std::function<void()>> queue_;
};

} // namespace figwinch
