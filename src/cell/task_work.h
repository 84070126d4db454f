#pragma once

#include "cell/task_run.h"
#include "figwinch/cell/job_progress.h"
#include "figwinch/cell/task_name.h"

#include <array>

namespace figwinch {

struct job_work;
struct worker_work;
struct step_work;

/// A task in the coordinator's hands. Owned by its step.
struct task_work {
    job_work* job = nullptr;
    step_work* step = nullptr;
    std::uint32_t index = 0;
    task_progress progress;
    /// The log has `progress.assigned_worker`.
    bool recorded = false;
    /// The coordinator before has told that no run of it can be anywhere.
    bool not_ordered = false;
    /// Where `run` is; nothing when no run of the task can be anywhere.
    worker_work* where = nullptr;
    task_run run;
    /// Not before then: a pause after a failed run.
    instant not_before{};
    /// The last workers on which runs failed, newest first: retries go elsewhere.
    std::array<worker_id, 4> failed_on;
    /// Since when it has had no run, as far as this coordinator knows.
    instant down_since{};
    /// How often it was moved because it stood still or lagged.
    std::uint32_t moves = 0;
};

} // namespace figwinch
