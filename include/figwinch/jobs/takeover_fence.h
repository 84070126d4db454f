#pragma once

#include "figwinch/base.h"
#include "figwinch/jobs/job_key.h"

#include <set>
#include <vector>

namespace figwinch {

/// Decides when the tasks of a failed owner may be restarted: when every worker of the data centre
/// is fenced, because any of them may run an attempt that the log does not mention. A scheduler
/// keeps one fence per take-over record.
///
/// A worker is fenced when a scheduler other than the previous owner is seen to hold its lease
/// after the take-over record was applied: from then on the worker rejects orders of the previous
/// owner, and the lease holder knows every attempt on it. An unreachable worker is fenced when
/// `unreachable_after` has passed since the record was applied and the scheduler that currently
/// tries to acquire its lease has sent it nothing for a full task lease plus clock drift, so that
/// the leases of all its tasks have expired.
class takeover_fence {
public:
    takeover_fence(incarnation_id previous_owner, log_offset record, instant applied_at,
                   duration unreachable_after, std::set<worker_id> workers,
                   std::vector<job_key> jobs);

    /// Handles a list, made after the take-over record was applied, that shows a live scheduler as
    /// the holder of the worker's lease.
    void on_lease_held(const worker_id& worker) { unfenced_workers_.erase(worker); }
    /// Handles a report that the scheduler that tries to acquire the worker's lease, the only one
    /// to do so, has sent it nothing for a full task lease plus clock drift.
    void on_unreachable(const worker_id& worker, instant now);
    /// Whether every worker is fenced. No scheduler can hold the lease of a worker that the
    /// manifest no longer declares; such a worker counts as unreachable and as sent nothing.
    bool is_complete() const { return unfenced_workers_.empty(); }

    const incarnation_id& previous_owner() const { return previous_owner_; }
    log_offset record() const { return record_; }
    instant applied_at() const { return applied_at_; }
    const std::set<worker_id>& unfenced_workers() const { return unfenced_workers_; }
    const std::vector<job_key>& jobs() const { return jobs_; }

private:
    incarnation_id previous_owner_;
    log_offset record_;
    instant applied_at_;
    duration unreachable_after_;
    std::set<worker_id> unfenced_workers_;
    std::vector<job_key> jobs_;
};

} // namespace figwinch
