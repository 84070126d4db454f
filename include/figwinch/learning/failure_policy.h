#pragma once

#include "figwinch/base.h"

#include <memory>

namespace figwinch {

/// Decides from task failures whether a worker is faulty or a job fails on every worker.
/// Quarantines faulty workers. Owned by a scheduler.
class failure_policy {
public:
    struct settings {
        /// Number of different jobs that must fail on a worker, without a success in between, for
        /// it to be quarantined.
        int worker_failures = 3;
        duration quarantine = std::chrono::minutes(1);
        duration max_quarantine = std::chrono::minutes(30);
    };

    static std::unique_ptr<failure_policy> create(const settings& with);
    virtual ~failure_policy() = default;

    /// Records a failed attempt. Idempotent for repeated reports of one attempt.
    /// `job` must equal the part of the task id before its last slash, so that a success of the
    /// task also clears the failures recorded for the job.
    virtual void record_failure(const worker_id& worker, const task_id& task,
                                attempt_number attempt, const job_id& job, instant now) = 0;
    virtual void record_success(const worker_id& worker, const task_id& task, instant now) = 0;
    /// Whether the worker is in quarantine, including while a trial task runs on it.
    virtual bool is_quarantined(const worker_id& worker, instant now) const = 0;
    /// Whether `admit` would return true. Used to choose among workers; starts no trial.
    virtual bool can_admit(const worker_id& worker, instant now) const = 0;
    /// Whether the worker may start a task now; call it right before the start. Once the quarantine
    /// time has passed, one call returns true and starts a trial: if the trial task fails, the
    /// quarantine time doubles; if it succeeds, the quarantine ends.
    virtual bool admit(const worker_id& worker, instant now) = 0;
    /// Number of failures of the task on workers that were not in quarantine at the time and have
    /// not been quarantined since.
    virtual int counted_failures(const task_id& task) const = 0;
    /// Number of attempts of the task that failed on this worker.
    virtual int failures_on(const task_id& task, const worker_id& worker) const = 0;
    bool failed_on(const task_id& task, const worker_id& worker) const {
        return failures_on(task, worker) > 0;
    }
    /// Drops the failures of a task that has ended and will not be retried.
    virtual void erase_task(const task_id& task) = 0;
};

} // namespace figwinch
