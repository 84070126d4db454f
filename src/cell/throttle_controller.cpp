#include "cell/throttle_controller.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <tuple>
#include <utility>

namespace figwinch {
namespace {

// For how long a serving task may be over its latency target until the suspected best-effort tasks
// are paused, and until all of them are. The service-level objective is violated after a few
// consecutive seconds over the target, and the task's users notice each of those seconds.
constexpr duration pause_suspects_after = std::chrono::milliseconds(1000);
constexpr duration pause_all_after = std::chrono::milliseconds(2200);
constexpr duration pause_length = std::chrono::milliseconds(1200);
// Time constant of the moving average of tail latencies. It covers two or three reports, which
// halves their noise.
constexpr double tail_time_constant_s = 0.6;
// Margin for the noise that remains in the average: a tail latency whose log ratio to the target is
// above this value may in fact be over the target.
constexpr double over_target_log_ratio = -0.03;
// The set point of the control, as a multiple of the latency target.
constexpr double set_point = 1.0;
// A best-effort task is suspected, and paused while a serving task stays over its latency target,
// if the pair's slowdown (a logarithm) is at least this.
constexpr double suspect_slowdown = 0.3;
constexpr int full_speed_percent = 100;
// Speeds below this percentage are rounded down to 0, since the task would hardly progress.
constexpr int min_speed_percent = 10;
constexpr int speed_step_percent = 10;

void update_tail_estimate(const serving_view& served, instant now) {
    tail_estimate& tail = *served.tail;
    const double age_s = std::chrono::duration<double>(now - tail.reported_at).count();
    const double weight = 1 - std::exp(-age_s / tail_time_constant_s);
    tail.log_ratio += weight * (std::log(served.tail_ratio) - tail.log_ratio);
    tail.reported_at = now;
}

int round_to_step(double share) {
    const int percent =
        static_cast<int>(share * full_speed_percent) / speed_step_percent * speed_step_percent;
    return percent < min_speed_percent ? 0 : std::clamp(percent, 0, full_speed_percent);
}

/// Throttles the best-effort neighbours of one serving task until the slowdown that they cause is
/// within its headroom: throttled starts first, then service tasks, then the others; of each, those
/// that cause the most slowdown per core first.
void throttle_neighbours(const slowdown_model& model, const serving_view& served,
                         std::vector<best_effort_view>& best_effort) {
    std::vector<std::size_t> order(best_effort.size());
    std::iota(order.begin(), order.end(), 0);
    const auto cost = [&](std::size_t index) {
        return model.slowdown(served.image, best_effort[index].image);
    };
    std::ranges::sort(order, std::greater{}, [&](std::size_t index) {
        const best_effort_view& other = best_effort[index];
        return std::tuple(other.first_throttled_to > 0, other.is_service, cost(index));
    });
    double sum = 0;
    for (const best_effort_view& other : best_effort)
        sum += model.slowdown(served.image, other.image) * other.unthrottled_share *
               other.speed_percent / full_speed_percent;
    const double headroom = std::max(0.0, model.headroom(served.image, *served.load, set_point));
    for (const std::size_t index : order) {
        if (sum <= headroom)
            return;
        best_effort_view& other = best_effort[index];
        const double at_full = cost(index) * other.unthrottled_share;
        if (at_full <= 0)
            continue;
        const double others = sum - at_full * other.speed_percent / full_speed_percent;
        const int percent = std::max(other.first_throttled_to,
                                     round_to_step(std::max(0.0, headroom - others) / at_full));
        other.speed_percent = std::min(other.speed_percent, percent);
        sum = others + at_full * other.speed_percent / full_speed_percent;
    }
}

} // namespace

/// For how long serving tasks have been over their latency targets. Uses the average of the last
/// reports instead of single ones: near the target, to which the control steers, one report in
/// three of a task that is over its target shows it below, and each of these would restart the
/// count.
duration throttle_controller::time_over_target(const std::vector<serving_view>& serving,
                                               instant now) {
    for (const serving_view& served : serving)
        update_tail_estimate(served, now);
    const bool over = std::ranges::any_of(serving, [](const serving_view& served) {
        return served.tail->log_ratio > over_target_log_ratio;
    });
    if (over && !is_over_target_)
        over_target_since_ = now;
    is_over_target_ = over;
    return over ? now - over_target_since_ : duration::zero();
}

void throttle_controller::decide(const slowdown_model& model,
                                 const std::vector<serving_view>& serving,
                                 std::vector<best_effort_view>& best_effort, instant now) {
    const duration over = time_over_target(serving, now);
    if (over >= pause_suspects_after)
        suspects_paused_until_ = now + pause_length;
    if (over >= pause_all_after)
        all_paused_until_ = now + pause_length;
    for (best_effort_view& other : best_effort)
        other.speed_percent = now < all_paused_until_ ? 0 : other.max_percent;
    for (const serving_view& served : serving) {
        throttle_neighbours(model, served, best_effort);
        if (now >= suspects_paused_until_)
            continue;
        for (best_effort_view& other : best_effort)
            if (model.slowdown(served.image, other.image) >= suspect_slowdown)
                other.speed_percent = 0;
    }
}

} // namespace figwinch
