#include "scheduler/start_pacer.h"

#include <algorithm>
#include <cmath>

namespace figwinch {
namespace {

double in_seconds(duration span) {
    return static_cast<double>(span.count()) / 1e6;
}

} // namespace

void start_pacer::begin_ramp(instant now) {
    ramping_ = true;
    ramp_began_ = now;
    filled_at_ = now;
    tokens_ = 0;
}

double start_pacer::rate(instant now) const {
    if (!ramping_)
        return max_rate_;
    const double doublings = in_seconds(now - ramp_began_) / in_seconds(ramp_);
    return std::min(max_rate_, first_rate_ * std::exp2(std::min(doublings, 30.0)));
}

bool start_pacer::take(instant now) {
    const double present = rate(now);
    tokens_ = std::min(std::max(1.0, present), tokens_ + present * in_seconds(now - filled_at_));
    filled_at_ = now;
    if (ramping_ && present >= max_rate_)
        ramping_ = false;
    if (tokens_ < 1)
        return false;
    tokens_ -= 1;
    return true;
}

} // namespace figwinch
