#pragma once

#include "figwinch/base.h"

namespace figwinch {

/// Decides for one worker at which share of their speed filling tasks may work, from the tails of
/// the serving tasks beside them. Slows fast and recovers slowly: what a filling task loses in a
/// second is made good later, what a serving task suffers is not.
class fill_control {
public:
    /// Takes one report. `worst` is the highest ratio of a serving task's tail to its target; 0
    /// when nothing serves there.
    void take(double worst, instant now);
    /// 0 to 100.
    int percent() const { return percent_; }
    /// Whether more filling work may be placed here.
    bool has_room() const { return percent_ >= full_percent; }

private:
    static constexpr int full_percent = 100;

    int percent_ = full_percent;
    instant changed_at_{};
    instant over_since_{};
    bool is_over_ = false;
};

} // namespace figwinch
