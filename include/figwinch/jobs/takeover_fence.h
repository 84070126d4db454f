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
    takeover_fence(incarnation_id previous, log_offset record, instant folded_at,
                   duration unreachable_after, std::set<worker_id> workers,
                   std::vector<job_key> jobs);

    /// Handles a list, made after the take-over record was applied, that shows a live scheduler as
    /// the holder of the worker's lease.
    void note_held(const worker_id& worker) { open_.erase(worker); }
    /// Handles a report that the scheduler that tries to acquire the worker's lease, the only one
    /// to do so, has sent it nothing for a full task lease plus clock drift.
    void note_quiet(const worker_id& worker, instant now);
    /// Whether every worker is fenced. No scheduler can hold the lease of a worker that the
    /// manifest no longer declares; such a worker counts as unreachable and as sent nothing.
    bool is_complete() const { return open_.empty(); }

    const incarnation_id& previous() const { return previous_; }
    log_offset record() const { return record_; }
    instant folded_at() const { return folded_at_; }
    const std::set<worker_id>& open() const { return open_; }
    const std::vector<job_key>& jobs() const { return jobs_; }

private:
    incarnation_id previous_;
    log_offset record_;
    instant folded_at_;
    duration unreachable_after_;
    std::set<worker_id> open_;
    std::vector<job_key> jobs_;
};

} // namespace figwinch
