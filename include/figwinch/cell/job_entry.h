#pragma once

#include "figwinch/cell/job_progress.h"
#include "figwinch/cell/job_spec.h"
#include "figwinch/cell/worker_fingerprints.h"

#include <memory>
#include <string>

namespace figwinch {

/// A job as recorded in the log. Part of `cell_state`.
struct job_entry {
    job_id id;
    /// Null while only progress or a cancellation has been read, since the streams are read
    /// independently. Without payload and steps once the job has ended.
    std::shared_ptr<const job_spec> spec;
    /// The offset of the job's record in the intake stream.
    std::uint64_t intake_offset = 0;
    bool cancel_wanted = false;
    bool begun = false;
    job_phase phase = job_phase::open;
    /// The newest progress record, still encoded; a host decodes it when it becomes coordinator.
    std::string progress_record;
    /// Workers to which the coordinator was about to send tasks of this job; recorded before the
    /// start orders are sent. A run of such a task can't be on any other worker. Tasks that have a
    /// `task_progress::ordered_to` are not covered.
    worker_fingerprints ordered_to;
};

} // namespace figwinch
