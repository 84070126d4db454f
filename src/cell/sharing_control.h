#pragma once

#include "cell/harm_table.h"
#include "figwinch/base.h"

#include <vector>

namespace figwinch {

/// A serving task as its worker reported it.
struct serving_view {
    image_number image = 0;
    /// log(tail / target).
    double log_ratio = 0;
};

/// A filling task beside it. Shares are of the worker's processors.
struct filling_view {
    image_number image = 0;
    double full_share = 0;
    double used_share = 0;
    /// Decided: at which percentage of its speed it may work.
    int percent = 100;
};

/// Decides for one worker at which speed its filling tasks may work. From what the serving tasks
/// suffer now and what is known of the pairs it works out what they would suffer at full speed, and
/// slows just those neighbours that matter just enough. When a target is missed all the same for a
/// second, every neighbour that may matter stands still, and after another second all of them.
class sharing_control {
public:
    /// Sets `percent` of each of `filling`.
    void decide(const harm_table& harms, const std::vector<serving_view>& serving,
                std::vector<filling_view>& filling, instant now);

private:
    duration time_over(const std::vector<serving_view>& serving, instant now);
    static void slow_for(const harm_table& harms, const serving_view& served,
                         std::vector<filling_view>& filling);

    instant over_since_{};
    bool is_over_ = false;
    instant suspects_stopped_until_{};
    instant all_stopped_until_{};
};

} // namespace figwinch
