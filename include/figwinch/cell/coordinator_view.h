#pragma once

#include "figwinch/base.h"
#include "figwinch/cell/queue_name.h"

#include <string_view>
#include <vector>

namespace figwinch {

/// Whether a worker gets new tasks, and if not, why.
enum class worker_status {
    usable,
    /// The platform no longer lists the worker.
    unlisted,
    leaving,
    data_centre_out,
    /// The worker has not reported in this leadership term.
    not_heard,
    /// The worker has not reported recently.
    silent,
    /// The worker is in quarantine after refusals or failures, or not yet recorded in the log.
    resting,
};

/// Why a job has unfinished tasks that have no worker.
enum class wait_reason {
    /// No task of the job is waiting.
    none,
    /// The next steps depend on running ones, or the next occurrence is not due yet.
    earlier_steps,
    /// Runs from the previous leadership term may exist on workers that have not reported yet.
    earlier_reign,
    /// The job's tasks wait for the backoff after a failed run.
    pause_after_failure,
    /// A worker was lost under a task, whose next run has to start apart from others.
    crash_trial,
    /// No worker of the job's service is usable.
    no_worker,
    /// No usable worker has the label that the step requires.
    no_label,
    /// No usable worker has enough free resources, or the task would harm latency-critical tasks
    /// there.
    no_room,
    /// The queue's advisor has not approved a worker yet.
    advice,
};

std::string_view to_string(worker_status status);
std::string_view to_string(wait_reason wait);

/// A worker as the coordinator sees it.
struct worker_view {
    worker_id id;
    data_centre_id data_centre;
    worker_status status = worker_status::usable;
    std::size_t tasks = 0;
    resources free;
};

/// An open job as the coordinator sees it.
struct job_view {
    job_id id;
    queue_name queue;
    std::uint32_t priority = 0;
    std::size_t running = 0;
    std::size_t waiting = 0;
    wait_reason waits_for = wait_reason::none;
    /// Time since the job was submitted, or since the coordinator first read it if that is not
    /// known.
    duration age{};
};

/// Snapshot of a coordinator's state for status pages: all workers, and the open jobs in scheduling
/// order up to a limit.
struct coordinator_view {
    std::vector<worker_view> workers;
    std::vector<job_view> jobs;
    std::size_t jobs_left_out = 0;
};

} // namespace figwinch
