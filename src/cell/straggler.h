#pragma once

#include "figwinch/base.h"

#include <optional>
#include <vector>

namespace figwinch {

/// The progress of a run. Its times are scaled by the speed to which the run is throttled: an hour
/// at half speed counts as half an hour.
struct run_progress {
    duration active_time{};
    /// The part of `active_time` since the percentage last changed.
    duration time_since_progress{};
    int percent = 0;
    /// The submitter's estimate of the total run time. Often inaccurate.
    duration estimate{};
    /// The percentage when `active_time` began, which for an adopted run is that of the first
    /// report.
    int first_percent = 0;
};

/// Whether a run is stalled: its percentage hasn't changed for much longer than one percent has
/// taken on average so far, and for longer than the interval between reports.
bool is_stalled(const run_progress& run);

/// The total run time, projected from the progress in `active_time`. Nothing if that is too little.
std::optional<duration> projected_run_time(const run_progress& run);

/// The median run time of a step's tasks, from the durations of successful runs (`ended`) and the
/// projected durations of those that have progressed far enough. Nothing if there are too few
/// samples.
std::optional<duration> typical_run_time(std::vector<duration> ended,
                                         const std::vector<run_progress>& running);

/// Whether a run is so slow that the task would finish clearly sooner if it were restarted on
/// another worker. `saves_checkpoints`: the task saves checkpoints, so that a restart loses only
/// about a second of work.
bool is_straggler(const run_progress& run, duration typical, bool saves_checkpoints);

} // namespace figwinch
