#include "cell/fill_control.h"

#include <algorithm>

namespace figwinch {
namespace {

// A report covers half a second and a new pace takes effect after 0.1 s: what a change does shows
// fully after 0.6 s.
constexpr duration settle_time = std::chrono::milliseconds(600);
// The promise to serving tasks breaks after some seconds over target on end; a second of it already
// costs their users. Then everything that fills stands still.
constexpr duration longest_over = std::chrono::milliseconds(1100);
// Tails swing with the load in seconds: slow down before the target is reached.
constexpr double slow_at = 0.85;
constexpr double recover_below = 0.6;
constexpr int slowest = 12;
constexpr int step_up = 20;

} // namespace

void fill_control::take(double worst, instant now) {
    const bool over = worst > 1.0;
    if (over && !is_over_)
        over_since_ = now;
    is_over_ = over;
    if (over && now - over_since_ >= longest_over) {
        percent_ = 0;
        changed_at_ = now;
        return;
    }
    if (now - changed_at_ < settle_time)
        return;
    if (worst >= slow_at && percent_ > 0) {
        percent_ = percent_ / 2 < slowest ? 0 : percent_ / 2;
        changed_at_ = now;
        return;
    }
    if (worst < recover_below && percent_ < full_percent) {
        percent_ = std::min(full_percent, percent_ + step_up);
        changed_at_ = now;
    }
}

} // namespace figwinch
