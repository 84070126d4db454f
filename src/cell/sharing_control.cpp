#include "cell/sharing_control.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace figwinch {
namespace {

// For how long a serving task may be over its latency target until the suspected best-effort tasks
// are paused, and until all of them are. The service-level objective is violated after a few
// consecutive seconds over the target, and the task's users notice each of those seconds.
constexpr duration suspicious_over = std::chrono::milliseconds(1000);
constexpr duration longest_over = std::chrono::milliseconds(2200);
constexpr duration stand_still = std::chrono::milliseconds(1200);
// Time constant of the moving average of tail latencies. It covers two or three reports, which
// halves their noise.
constexpr double tail_memory_s = 0.6;
// Margin for the noise that remains in the average: a tail latency whose log ratio to the target is
// above this value may in fact be over the target.
constexpr double doubtful_log_ratio = -0.03;
// The set point of the control, as a multiple of the latency target.
constexpr double aim = 1.0;
// A best-effort task is suspected, and paused while a serving task stays over its latency target,
// if the pair's slowdown (a logarithm) is at least this.
constexpr double suspicious_slowdown = 0.3;
constexpr int full = 100;
// Speeds below this percentage are rounded down to 0, since the task would hardly progress.
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

/// Throttles the best-effort neighbours of one serving task until the slowdown that they cause is
/// within its headroom, beginning with those that cause the most slowdown per core.
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

/// For how long serving tasks have been over their latency targets. Uses the average of the last
/// reports instead of single ones: near the target, to which the control steers, one report in
/// three of a task that is over its target shows it below, and each of these would restart the
/// count.
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
