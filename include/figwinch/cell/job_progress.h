#pragma once

#include "figwinch/cell/queue_name.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace figwinch {

/// Whether a job goes on, and how it ended.
enum class job_phase { open, succeeded, failed, cancelled };

/// "running", "succeeded" and so on, for logs and answers.
const char* to_string(job_phase phase);

/// What must outlive a coordinator about one task.
struct task_progress {
    bool done = false;
    /// Runs that ended badly. By number, since ends may be reported twice and, by a worker that was
    /// cut off, after those of later runs. Bounded by the attempts that the job has.
    std::vector<run_number> failed_runs;
    /// Resume from here; empty: from the start.
    std::string checkpoint;
    /// Of a lasting task: the worker to which its newest run was to go, recorded before the order
    /// went out. No run can be on any other worker. Empty: none was ever ordered.
    worker_id ordered_to;
};

/// One pass over the steps: tasks by step and index.
struct occurrence_progress {
    std::vector<std::vector<task_progress>> steps;
};

/// How far a job is.
struct job_progress {
    /// A task has been started.
    bool begun = false;
    job_phase phase = job_phase::open;
    /// Occurrences below this one have ended and are no longer kept.
    std::uint32_t occurrences_ended = 0;
    std::map<std::uint32_t, occurrence_progress> occurrences;
};

} // namespace figwinch
