#pragma once

#include "figwinch/base.h"

namespace figwinch {

/// Bounds how fast a scheduler starts tasks. After its data centre came back the rate begins low
/// and doubles, so that a returning data centre isn't hit by everything that waits at once.
class start_pacer {
public:
    start_pacer(double max_rate, double first_rate, duration ramp)
        : max_rate_(max_rate), first_rate_(first_rate), ramp_(ramp) {}

    /// The data centre was brought back, as this process learned at `now`.
    void begin_ramp(instant now);
    /// Takes the right to one start, if there is one.
    bool take(instant now);

private:
    double rate(instant now) const;

    double max_rate_;
    double first_rate_;
    duration ramp_;
    bool ramping_ = false;
    instant ramp_began_{};
    instant filled_at_{};
    double tokens_ = 0;
};

} // namespace figwinch
