#pragma once

#include "figwinch/base.h"

#include <functional>
#include <map>

namespace figwinch::sim {

/// Simulated time: calls in order of their instants. Owned by a test.
class sim_time {
public:
    const manual_clock& clock() const { return clock_; }
    instant now() const { return clock_.now(); }

    void after(duration delay, std::function<void()> call) {
        calls_.emplace(clock_.now() + delay, std::move(call));
    }
    void run_for(duration span) {
        const instant end = clock_.now() + span;
        while (!calls_.empty() && calls_.begin()->first <= end) {
            const auto first = calls_.begin();
            clock_.advance(first->first - clock_.now());
            const std::function<void()> call = std::move(first->second);
            calls_.erase(first);
            call();
        }
        clock_.advance(end - clock_.now());
    }

private:
    manual_clock clock_;
    std::multimap<instant, std::function<void()>> calls_;
};

} // namespace figwinch::sim
