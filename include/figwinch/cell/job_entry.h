#pragma once

#include "figwinch/cell/job_progress.h"
#include "figwinch/cell/job_spec.h"
#include "figwinch/cell/worker_fingerprints.h"

#include <memory>
#include <string>

namespace figwinch {

/// A job as the log shows it. Part of `cell_state`.
struct job_entry {
    job_id id;
    /// Empty while only progress or a cancellation has been read: the streams are read apart. Of an
    /// ended job without payload and steps.
    std::shared_ptr<const job_spec> spec;
    /// Where in the intake stream the job stands.
    std::uint64_t intake_offset = 0;
    bool cancel_wanted = false;
    bool begun = false;
    job_phase phase = job_phase::open;
    /// The newest progress record as stored; decoded by whoever becomes coordinator.
    std::string progress_record;
    /// Workers to which runs of tasks were to go that have no `task_progress::assigned_worker` of
    /// their own, recorded before the orders went out. No run of them can be on any other worker.
    worker_fingerprints ordered_to;
};

} // namespace figwinch
