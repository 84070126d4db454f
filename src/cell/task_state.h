#pragma once

#include "cell/task_run.h"
#include "figwinch/cell/job_progress.h"
#include "figwinch/cell/task_name.h"

#include <vector>

namespace figwinch {

struct job_state;
struct worker_state;
struct step_state;

/// The coordinator's state of a task. Owned by its step.
struct task_state {
    job_state* job = nullptr;
    step_state* step = nullptr;
    std::uint32_t index = 0;
    task_progress progress;
    /// The log has the current value of `progress.ordered_to`.
    bool recorded = false;
    /// The predecessor reported that the task has no run anywhere.
    bool not_ordered = false;
    /// Worker that `run` is assigned to; null if no run of the task can exist.
    worker_state* assigned_worker = nullptr;
    task_run run;
    /// The run was started at a low speed, for an overdue job.
    bool is_throttled_start = false;
    /// Backoff after a failed run: the task is not started before this time.
    instant not_before{};
    /// Workers on which the last runs failed or lagged, newest first; retries prefer other workers.
    /// Most tasks have none, and a job may have very many tasks.
    std::vector<worker_id> failed_on;
    /// Since when the task has had no run, as far as this coordinator knows.
    instant down_since{};
    /// How often the task was moved because it made no progress or lagged.
    std::uint32_t moves = 0;

    void add_failed_on(const worker_id& worker) {
        failed_on.insert(failed_on.begin(), worker);
        if (failed_on.size() > max_failed_on)
            failed_on.pop_back();
    }

private:
    static constexpr std::size_t max_failed_on = 4;
};

} // namespace figwinch
