#pragma once

#include "figwinch/base.h"
#include "figwinch/cell/queue_name.h"

#include <string_view>
#include <vector>

namespace figwinch {

/// Whether a worker gets new tasks, and if not, why.
enum class worker_standing {
    usable,
    /// The platform doesn't list it any more.
    unlisted,
    leaving,
    data_centre_out,
    /// It hasn't reported under this reign.
    not_heard,
    /// It hasn't reported lately.
    silent,
    /// It refused or failed too much, or is new and not yet recorded.
    resting,
};

/// Why a job has a task whose turn may have come and that has no worker.
enum class job_wait {
    /// Nothing of it waits.
    none,
    /// Its next steps depend on running ones, or its time hasn't come.
    earlier_steps,
    /// Tasks of the reign before may still run where nobody has looked.
    earlier_reign,
    /// A short pause after a failed run.
    pause_after_failure,
    /// No worker of its service is usable.
    no_worker,
    /// No usable worker has the label that a step asks for.
    no_label,
    /// Usable workers have no room for it, or serving tasks there would suffer.
    no_room,
    /// The queue's advisor hasn't allowed a worker yet.
    advice,
};

std::string_view to_string(worker_standing standing);
std::string_view to_string(job_wait wait);

/// A worker as its coordinator sees it.
struct worker_view {
    worker_id id;
    data_centre_id data_centre;
    worker_standing standing = worker_standing::usable;
    std::size_t tasks = 0;
    resources free;
};

/// An open job.
struct job_view {
    job_id id;
    queue_name queue;
    std::uint32_t priority = 0;
    std::size_t running = 0;
    std::size_t waiting = 0;
    job_wait waits_for = job_wait::none;
    /// Since the coordinator came to know it.
    duration known_for{};
};

/// What a coordinator works with, for people: all workers, and the open jobs in the order in which
/// they are served, up to a bound.
struct coordinator_view {
    std::vector<worker_view> workers;
    std::vector<job_view> jobs;
    std::size_t jobs_left_out = 0;
};

} // namespace figwinch
