#include "cell/straggler.h"

#include <algorithm>

namespace figwinch {
namespace {

constexpr int whole = 100;
// The interval between reports is up to a second, and one report may be lost.
constexpr duration least_unchanged = std::chrono::milliseconds(2200);
// A run is stalled if its percentage hasn't changed for this many times the average duration of one
// percent. On a slow worker a percent takes up to 8 times as long; on a hanging one it never ends.
constexpr int percents_still = 12;
// A run without any progress is stalled after this fraction (1/n) of the submitter's estimate,
// which is the only indication there is and may be ten times too low.
constexpr int estimate_part = 4;
// From this percentage on, the total duration of a run can be projected from its progress.
constexpr int telling_percent = 30;
constexpr std::size_t least_samples = 3;
// The durations of a step's tasks vary by a third. If one takes longer than this factor times the
// median, the worker is the cause.
constexpr double clear_factor = 1.8;
// The minimum ratio of the remaining time here to the time that a restart elsewhere would take.
constexpr double clear_gain = 1.3;
// The time for stopping the run and starting the new one, including the delivery of both orders.
constexpr duration moving = std::chrono::milliseconds(600);
// The work since the last checkpoint that a run may lose when it is moved.
constexpr duration unsaved = std::chrono::seconds(1);

duration scaled(duration span, double factor) {
    return std::chrono::duration_cast<duration>(span * factor);
}

/// The projected total duration of a run at its average rate so far.
duration whole_time(const run_progress& run) {
    return run.worked * whole / std::max(run.percent, 1);
}

} // namespace

bool stands_still(const run_progress& run) {
    if (run.unchanged < least_unchanged || run.percent >= whole)
        return false;
    if (run.percent == 0)
        return run.unchanged > run.estimate / estimate_part;
    return run.unchanged > (run.worked - run.unchanged) / run.percent * percents_still;
}

std::optional<duration> usual_time(std::vector<duration> ended,
                                   const std::vector<run_progress>& running) {
    for (const run_progress& run : running)
        if (run.percent >= telling_percent)
            ended.push_back(whole_time(run));
    if (ended.size() < least_samples)
        return std::nullopt;
    const auto middle = ended.begin() + static_cast<std::ptrdiff_t>(ended.size() / 2);
    std::ranges::nth_element(ended, middle);
    return *middle;
}

bool is_straggler(const run_progress& run, duration usual, bool saves) {
    if (run.percent >= whole || run.worked < scaled(usual, clear_factor))
        return false;
    const duration left_here = whole_time(run) * (whole - run.percent) / whole;
    const duration saved = saves ? usual * run.percent / whole - unsaved : duration::zero();
    const duration left_elsewhere = usual - std::max(saved, duration::zero()) + moving;
    return left_here > scaled(left_elsewhere, clear_gain);
}

} // namespace figwinch
