#pragma once

#include "figwinch/base.h"

#include <memory>

namespace figwinch {

/// Tells a worker that fails everything from a job that fails everywhere. Owned by a scheduler.
class failure_policy {
public:
    struct settings {
        /// Failures of different jobs in a row, without a success between, that quarantine.
        int worker_failures = 3;
        duration quarantine = std::chrono::minutes(1);
        duration max_quarantine = std::chrono::minutes(30);
    };

    static std::unique_ptr<failure_policy> create(const settings& with);
    virtual ~failure_policy() = default;

    /// A repeated report of one attempt counts once.
    /// `job` names the job as the task id does before its last slash, so that a success of the task
    /// clears the job.
    virtual void note_failed(const worker_id& worker, const task_id& task, attempt_number attempt,
                             const job_id& job, instant now) = 0;
    virtual void note_succeeded(const worker_id& worker, const task_id& task, instant now) = 0;
    /// Whether the worker is in quarantine, trial or not.
    virtual bool is_quarantined(const worker_id& worker, instant now) const = 0;
    /// Whether `admit` would say yes, for choosing among workers; counts nothing.
    virtual bool would_admit(const worker_id& worker, instant now) const = 0;
    /// Whether the worker may take a task now; call it right before the start. After the quarantine
    /// one task is let through as a trial, which this call counts; its failure doubles the
    /// quarantine, its success ends it.
    virtual bool admit(const worker_id& worker, instant now) = 0;
    /// Failures of the task on workers that were not in quarantine then or since.
    virtual int counted_failures(const task_id& task) const = 0;
    /// How often the task has failed on this worker.
    virtual int failures_on(const task_id& task, const worker_id& worker) const = 0;
    bool failed_on(const task_id& task, const worker_id& worker) const {
        return failures_on(task, worker) > 0;
    }
    /// Forgets a task that has ended for good.
    virtual void forget(const task_id& task) = 0;
};

} // namespace figwinch
