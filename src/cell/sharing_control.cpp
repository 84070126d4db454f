#include "cell/sharing_control.h"

#include <algorithm>
#include <cmath>

namespace figwinch {
namespace {

// The promise to serving tasks breaks after some seconds over target on end, and each of them costs
// their users.
constexpr duration suspicious_over = std::chrono::milliseconds(1000);
constexpr duration longest_over = std::chrono::milliseconds(2200);
constexpr duration stand_still = std::chrono::milliseconds(1200);
// log of the share of the target that tails are steered to: their own load swings by half in
// seconds, and a report is half a second old.
const double aimed_log_ratio = std::log(0.85);
// What a serving task suffers without neighbours can't be far below its mean: a tail that is much
// lower than its neighbours explain says that their harm is overrated.
constexpr double deepest_swing = 0.8;
// Neighbours that raise a tail by less than this at full speed aren't slowed: it is within what is
// known of a pair, and a tail that its own load has raised doesn't fall by it.
constexpr double least_harm = 0.06;
// Beside a serving task that stays over its target, who raises its tail by this much stands still.
constexpr double suspicious_harm = 0.02;
constexpr int full = 100;
// Below this a task might as well stand still.
constexpr int slowest = 10;
constexpr int step = 10;

int in_steps(double share) {
    const int percent = static_cast<int>(share * full) / step * step;
    return percent < slowest ? 0 : std::min(percent, full);
}

} // namespace

duration sharing_control::time_over(const std::vector<serving_view>& serving, instant now) {
    const bool over = std::ranges::any_of(
        serving, [](const serving_view& served) { return served.log_ratio > 0; });
    if (over && !is_over_)
        over_since_ = now;
    is_over_ = over;
    return over ? now - over_since_ : duration::zero();
}

void sharing_control::slow_for(const harm_table& harms, const serving_view& served,
                               std::vector<filling_view>& filling) {
    double harm_now = 0;
    double harm_full = 0;
    for (const filling_view& other : filling) {
        const double harm = harms.harm(served.image, other.image);
        harm_now += harm * other.used_share;
        harm_full += harm * other.full_share;
    }
    if (harm_full < least_harm)
        return;
    const double deepest = harms.alone(served.image) - deepest_swing;
    const double own = std::max(served.log_ratio - harm_now, deepest);
    const double allowed = std::max(least_harm, aimed_log_ratio - own);
    if (harm_full <= allowed)
        return;
    const int percent = in_steps(allowed / harm_full);
    for (filling_view& other : filling)
        if (harms.harm(served.image, other.image) * other.full_share >= least_harm)
            other.percent = std::min(other.percent, percent);
}

void sharing_control::decide(const harm_table& harms, const std::vector<serving_view>& serving,
                             std::vector<filling_view>& filling, instant now) {
    const duration over = time_over(serving, now);
    if (over >= suspicious_over)
        suspects_stopped_until_ = now + stand_still;
    if (over >= longest_over)
        all_stopped_until_ = now + stand_still;
    for (filling_view& other : filling)
        other.percent = now < all_stopped_until_ ? 0 : full;
    for (const serving_view& served : serving) {
        slow_for(harms, served, filling);
        if (now >= suspects_stopped_until_)
            continue;
        for (filling_view& other : filling)
            if (harms.harm(served.image, other.image) * other.full_share >= suspicious_harm)
                other.percent = 0;
    }
}

} // namespace figwinch
