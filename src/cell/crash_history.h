#pragma once

#include "figwinch/cell/job_progress.h"

namespace figwinch {

/// Shortest time for which a suspect's run has to last, and for which no other run may have started
/// on its worker. Longer than it takes until a crash shows as a closed connection.
inline constexpr duration min_probation = std::chrono::seconds(1);
/// A run that has lasted for this long did not crash its worker.
inline constexpr duration crash_free_run_time = std::chrono::seconds(10);

/// Rules about the runs of a task that were lost with their workers. A task that crashes every
/// worker that starts it reports no failure, and looks like the tasks that ran beside it. So a
/// suspect's next run, its trial, is started apart from others until a crash, or a run that lasts,
/// tells them apart.

/// Whether the task may have crashed a worker, so that its next run has to be a trial.
bool is_crash_suspect(const task_progress& task);
/// Whether a worker was lost on which only this task had just started a run.
bool has_sole_crash(const task_progress& task);
/// Whether the task must not be started again: it is known to crash workers, or too many were lost
/// under it.
bool must_give_up(const task_progress& task);
/// How long a trial of the task lasts.
duration probation_of(const task_progress& task);
/// How soon after its start a run of the task that crashes its worker should do so at the latest.
duration expected_crash_time(const task_progress& task);
/// How long a run has to last to clear the task: longer than the runs that were lost.
duration time_to_clear(const task_progress& task);

/// Adds a lost run, or updates what is known of it. Returns whether anything has changed.
bool add_crash(task_progress& task, const crashed_run& crash);
/// Removes a run whose worker did not crash. Returns whether it was there.
bool withdraw_crash(task_progress& task, run_number run);
/// Makes the trial of an earlier leadership term, of which no worker reported anything, a crash.
void settle_earlier_trial(task_progress& task);
/// Counts shown crashes before `first_run`, the first of this leadership term, in full: only the
/// coordinator that noticed a loss can learn whether the worker's process has ended.
void settle_earlier_crashes(task_progress& task, run_number first_run);

} // namespace figwinch
