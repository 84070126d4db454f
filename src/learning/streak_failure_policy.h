#pragma once

#include "figwinch/learning/failure_policy.h"
#include "learning/job_failures.h"
#include "learning/lru_map.h"
#include "learning/task_failures.h"
#include "learning/worker_record.h"

namespace figwinch {

/// Quarantines a worker after failures of several different jobs without a success in between.
/// Failures of suspect jobs, which have failed on several workers since their last success, count
/// half.
class streak_failure_policy final : public failure_policy {
public:
    explicit streak_failure_policy(const settings& with);

    void record_failure(const worker_id& worker, const task_id& task, attempt_number attempt,
                        const job_id& job, instant now) override;
    void record_success(const worker_id& worker, const task_id& task, instant now) override;
    bool is_quarantined(const worker_id& worker, instant now) const override;
    bool can_admit(const worker_id& worker, instant now) const override;
    bool admit(const worker_id& worker, instant now) override;
    int counted_failures(const task_id& task) const override;
    int failures_on(const task_id& task, const worker_id& worker) const override;
    void erase_task(const task_id& task) override { tasks_.erase(task); }

private:
    const task_failures::failure* find_failure(const task_id& task, const worker_id& worker) const;
    void record_task_failure(const task_id& task, const worker_id& worker, attempt_number attempt,
                             bool counted);
    /// Records that the job failed on the worker. Returns whether this made the job suspect.
    bool record_job_failure(const job_id& job, const worker_id& worker);
    bool is_suspect(const job_id& job) const;
    void handle_trial_failure(worker_record& record, bool job_suspect, instant now);
    /// Whether the failed jobs on record, weighted, suffice for a quarantine.
    bool is_quarantine_justified(const worker_record& record) const;
    /// Ends each quarantine whose failures no longer suffice because a job became suspect.
    void lift_unjustified_quarantines();
    void quarantine(const worker_id& worker, worker_record& record, instant now);
    /// Stops counting all failures on this worker against the tasks that failed.
    void uncount_failures(const worker_id& worker);

    settings settings_;
    lru_map<worker_id, worker_record> workers_;
    lru_map<task_id, task_failures> tasks_;
    lru_map<job_id, job_failures> jobs_;
};

} // namespace figwinch
