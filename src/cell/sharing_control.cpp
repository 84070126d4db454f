#include "cell/sharing_control.h"

#include <algorithm>
#include <cmath>

namespace figwinch {
namespace {

// The promise to serving tasks breaks after some seconds over target on end, and each of them costs
// their users.
constexpr duration longest_over = std::chrono::milliseconds(1000);
constexpr duration stand_still = std::chrono::milliseconds(1500);
// log of the share of the target that tails are steered to: their own load swings by half in
// seconds, and a report is half a second old.
const double aimed_log_ratio = std::log(0.75);
// What a serving task suffers without neighbours can't be far below its mean: a tail that is much
// lower than its neighbours explain says that their harm is overrated.
constexpr double deepest_swing = 0.8;
// Neighbours with less harm than this at full speed aren't slowed.
constexpr double least_harm = 0.02;
constexpr int full = 100;
// Below this a task might as well stand still.
constexpr int slowest = 10;
constexpr int step = 10;

int in_steps(double share) {
    const int percent = static_cast<int>(share * full) / step * step;
    return percent < slowest ? 0 : std::min(percent, full);
}

} // namespace

bool sharing_control::is_long_over(const std::vector<serving_view>& serving, instant now) {
    const bool over = std::ranges::any_of(
        serving, [](const serving_view& served) { return served.log_ratio > 0; });
    if (over && !is_over_)
        over_since_ = now;
    is_over_ = over;
    if (over && now - over_since_ >= longest_over)
        stopped_until_ = now + stand_still;
    return now < stopped_until_;
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
    const double allowed = std::max(0.0, aimed_log_ratio - own);
    if (harm_full <= allowed)
        return;
    const int percent = in_steps(allowed / harm_full);
    for (filling_view& other : filling)
        if (harms.harm(served.image, other.image) * other.full_share >= least_harm)
            other.percent = std::min(other.percent, percent);
}

void sharing_control::decide(const harm_table& harms, const std::vector<serving_view>& serving,
                             std::vector<filling_view>& filling, instant now) {
    const bool stopped = is_long_over(serving, now);
    for (filling_view& other : filling)
        other.percent = stopped ? 0 : full;
    if (stopped)
        return;
    for (const serving_view& served : serving)
        slow_for(harms, served, filling);
}

} // namespace figwinch
