#include "cell/straggler.h"

#include <algorithm>

namespace figwinch {
namespace {

constexpr int complete_percent = 100;
// The interval between reports is up to a second, and one report may be lost.
constexpr duration min_stall_time = std::chrono::milliseconds(2200);
// A run is stalled if its percentage hasn't changed for this many times the average duration of one
// percent. On a slow worker a percent takes up to 8 times as long; on a hanging one it never ends.
constexpr int stall_factor = 12;
// A run without any progress is stalled after this fraction (1/n) of the submitter's estimate,
// which is the only indication there is and may be ten times too low.
constexpr int stall_estimate_divisor = 4;
// From this progress on, in percent, the total duration of a run can be projected.
constexpr int min_projection_percent = 30;
constexpr std::size_t min_samples = 3;
// The durations of a step's tasks vary by a third. If one takes longer than this factor times the
// median, the worker is the cause.
constexpr double straggler_factor = 1.8;
// The minimum ratio of the remaining time here to the time that a restart elsewhere would take.
constexpr double min_gain = 1.3;
// The time for stopping the run and starting the new one, including the delivery of both orders.
constexpr duration move_overhead = std::chrono::milliseconds(600);
// The work since the last checkpoint that a run may lose when it is moved.
constexpr duration max_lost_work = std::chrono::seconds(1);

duration scaled(duration span, double factor) {
    return std::chrono::duration_cast<duration>(span * factor);
}

/// The progress that was made in the run's active time.
int observed_percent(const run_progress& run) {
    return run.percent - run.first_percent;
}

/// The total duration of a run at its average rate so far.
duration run_time_at_average_rate(const run_progress& run) {
    return run.active_time * complete_percent / std::max(observed_percent(run), 1);
}

} // namespace

bool is_stalled(const run_progress& run) {
    if (run.time_since_progress < min_stall_time || run.percent >= complete_percent)
        return false;
    const int observed = observed_percent(run);
    if (observed <= 0)
        return run.time_since_progress > run.estimate / stall_estimate_divisor;
    return run.time_since_progress >
           (run.active_time - run.time_since_progress) / observed * stall_factor;
}

std::optional<duration> projected_run_time(const run_progress& run) {
    if (observed_percent(run) < min_projection_percent)
        return std::nullopt;
    return run_time_at_average_rate(run);
}

std::optional<duration> typical_run_time(std::vector<duration> ended,
                                         const std::vector<run_progress>& running) {
    for (const run_progress& run : running)
        if (const auto projected = projected_run_time(run))
            ended.push_back(*projected);
    if (ended.size() < min_samples)
        return std::nullopt;
    const auto middle = ended.begin() + static_cast<std::ptrdiff_t>(ended.size() / 2);
    std::ranges::nth_element(ended, middle);
    return *middle;
}

bool is_straggler(const run_progress& run, duration typical, bool saves_checkpoints) {
    if (run.percent >= complete_percent || run.active_time < scaled(typical, straggler_factor))
        return false;
    const duration left_here =
        run_time_at_average_rate(run) * (complete_percent - run.percent) / complete_percent;
    const duration saved = saves_checkpoints
                               ? typical * run.percent / complete_percent - max_lost_work
                               : duration::zero();
    const duration left_elsewhere = typical - std::max(saved, duration::zero()) + move_overhead;
    return left_here > scaled(left_elsewhere, min_gain);
}

} // namespace figwinch
