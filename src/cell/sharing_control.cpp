#include "cell/sharing_control.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace figwinch {
namespace {

// The promise to serving tasks breaks after some seconds over target on end, and each of them costs
// their users.
constexpr duration suspicious_over = std::chrono::milliseconds(1000);
constexpr duration longest_over = std::chrono::milliseconds(2200);
constexpr duration stand_still = std::chrono::milliseconds(1200);
// Tails are averaged over two or three reports, which leaves half of their roughness.
constexpr double tail_memory_s = 0.6;
// What is left of it: a tail that seems this little (a logarithm) under its target may be over.
constexpr double doubtful_log_ratio = -0.03;
// The share of the target that tails are steered to.
constexpr double aim = 1.0;
// Beside a serving task that stays over its target, whose slowdown is at least this stands still.
constexpr double suspicious_slowdown = 0.3;
constexpr int full = 100;
// Below this a task might as well stand still.
constexpr int slowest = 10;
constexpr int step = 10;

void take_report(const serving_view& served, instant now) {
    tail_estimate& tail = *served.tail;
    const double age_s = std::chrono::duration<double>(now - tail.reported_at).count();
    const double news = 1 - std::exp(-age_s / tail_memory_s);
    tail.log_ratio += news * (std::log(served.tail_ratio) - tail.log_ratio);
    tail.reported_at = now;
}

int in_steps(double share) {
    const int percent = static_cast<int>(share * full) / step * step;
    return percent < slowest ? 0 : std::clamp(percent, 0, full);
}

/// Slows the neighbours of one serving task until their slowdowns are within its headroom, those
/// first that cost it most for what they get done.
void slow_for(const slowdown_model& model, const serving_view& served,
              std::vector<filling_view>& filling) {
    std::vector<std::size_t> order(filling.size());
    std::iota(order.begin(), order.end(), 0);
    const auto cost = [&](std::size_t index) {
        return model.slowdown(served.image, filling[index].image);
    };
    std::ranges::sort(order, std::greater{}, cost);
    double sum = 0;
    for (const filling_view& other : filling)
        sum += model.slowdown(served.image, other.image) * other.full_share * other.percent / full;
    const double headroom = std::max(0.0, model.headroom(served.image, *served.load, aim));
    for (const std::size_t index : order) {
        if (sum <= headroom)
            return;
        filling_view& other = filling[index];
        const double at_full = cost(index) * other.full_share;
        if (at_full <= 0)
            return;
        const double others = sum - at_full * other.percent / full;
        const int percent = in_steps(std::max(0.0, headroom - others) / at_full);
        other.percent = std::min(other.percent, percent);
        sum = others + at_full * other.percent / full;
    }
}

} // namespace

/// For how long a task may have been over its target. Counted by the average of its last reports:
/// tails are steered to the target, where one report in three of a task that is over it says that
/// it isn't, and each of these would begin the count anew.
duration sharing_control::time_over(const std::vector<serving_view>& serving, instant now) {
    for (const serving_view& served : serving)
        take_report(served, now);
    const bool over = std::ranges::any_of(serving, [](const serving_view& served) {
        return served.tail->log_ratio > doubtful_log_ratio;
    });
    if (over && !is_over_)
        over_since_ = now;
    is_over_ = over;
    return over ? now - over_since_ : duration::zero();
}

void sharing_control::decide(const slowdown_model& model, const std::vector<serving_view>& serving,
                             std::vector<filling_view>& filling, instant now) {
    const duration over = time_over(serving, now);
    if (over >= suspicious_over)
        suspects_stopped_until_ = now + stand_still;
    if (over >= longest_over)
        all_stopped_until_ = now + stand_still;
    for (filling_view& other : filling)
        other.percent = now < all_stopped_until_ ? 0 : full;
    for (const serving_view& served : serving) {
        slow_for(model, served, filling);
        if (now >= suspects_stopped_until_)
            continue;
        for (filling_view& other : filling)
            if (model.slowdown(served.image, other.image) >= suspicious_slowdown)
                other.percent = 0;
    }
}

} // namespace figwinch
