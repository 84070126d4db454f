#pragma once

#include "cell/slowdown_model.h"
#include "figwinch/base.h"

#include <vector>

namespace figwinch {

/// The tail of one serving task over its last reports, each of which is rough.
struct tail_estimate {
    /// log(tail / target).
    double log_ratio = -1;
    instant reported_at{};
};

/// A serving task as its worker reported it.
struct serving_view {
    image_number image = 0;
    /// tail / target.
    double tail_ratio = 0;
    /// What is known of its own load; kept with the task's run.
    load_estimate* load = nullptr;
    /// Over its last reports; kept with the task's run.
    tail_estimate* tail = nullptr;
};

/// A filling task beside it. Shares are of the worker's processors.
struct filling_view {
    image_number image = 0;
    double full_share = 0;
    /// Decided: at which percentage of its speed it may work.
    int percent = 100;
};

/// Decides for one worker at which speed its filling tasks may work. Each serving task has headroom
/// by its own load of the moment; the neighbours that slow it most per processor are slowed first,
/// just enough. When a target is missed all the same for a second, every neighbour that may matter
/// stands still, and after another second all of them.
class sharing_control {
public:
    /// Sets `percent` of each of `filling`.
    void decide(const slowdown_model& model, const std::vector<serving_view>& serving,
                std::vector<filling_view>& filling, instant now);

    /// Whether one more filling task may start beside the serving tasks: none of them was over its
    /// target in the last report, and no neighbour stands still for one. A new task works at full
    /// speed until its first report.
    bool admits_filling(instant now) const {
        return !is_over_ && now >= suspects_stopped_until_ && now >= all_stopped_until_;
    }

private:
    duration time_over(const std::vector<serving_view>& serving, instant now);

    instant over_since_{};
    bool is_over_ = false;
    instant suspects_stopped_until_{};
    instant all_stopped_until_{};
};

} // namespace figwinch
