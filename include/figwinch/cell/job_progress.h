#pragma once

#include "figwinch/cell/queue_name.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace figwinch {

/// Whether a job is still open or how it ended.
enum class job_phase { open, succeeded, failed, cancelled };

/// The enumerator's name, such as "open" or "succeeded", as used in logs and API responses.
const char* to_string(job_phase phase);

/// The state of one task that is stored durably, so that the next coordinator can continue the
/// task.
struct task_progress {
    bool done = false;
    /// Numbers of the runs that failed. Stored as numbers instead of a count because a worker may
    /// report an end twice, and a worker that was disconnected may report it after the ends of
    /// later runs. Holds at most `job_spec::attempts` entries.
    std::vector<run_number> failed_runs;
    /// The checkpoint from which the next run resumes. If empty, it starts from the beginning.
    std::string checkpoint;
    /// For service tasks only: the worker assigned to the newest run. It is recorded before the
    /// start order is sent, so no other worker can have a run of the task. Empty if no start was
    /// ever ordered.
    worker_id assigned_worker;
};

/// The progress of one occurrence, that is, of one execution of all steps of a job. `steps` is
/// indexed by step number, then by task index.
struct occurrence_progress {
    std::vector<std::vector<task_progress>> steps;
};

/// The durable execution state of a job.
struct job_progress {
    /// At least one task of the job has been started.
    bool begun = false;
    job_phase phase = job_phase::open;
    /// Occurrences with a lower number have ended and are no longer stored.
    std::uint32_t occurrences_ended = 0;
    std::map<std::uint32_t, occurrence_progress> occurrences;
};

} // namespace figwinch
