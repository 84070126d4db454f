#pragma once

#include "figwinch/base.h"
#include "figwinch/jobs/job_entry.h"
#include "figwinch/jobs/job_record.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace figwinch {

/// A task attempt that must be stopped, and the worker that runs it.
struct running_attempt {
    task_id task;
    attempt_number attempt;
    worker_id worker;
};

/// The worker, lease epoch and time at which an attempt was started or first observed, and the
/// resources that it reserves on that worker.
struct attempt_placement {
    worker_id worker;
    lease_epoch epoch;
    resources size;
    instant now{};
};

/// The jobs that one scheduler process owns, with the state of each task.
///
/// Prevents a task from running twice at the same time: an attempt starts only from the phase
/// `queued`, and a task is queued only when its newest attempt is known to have ended. Attempt
/// numbers increase monotonically, also across owners: each owner's numbers start above a base
/// derived from the log offset of the record that made it the owner.
class job_book {
public:
    /// Adds a job from its logged state. `fenced_off`: attempts started by a previous owner may
    /// still be running, so no task may start until `lift_fence`.
    job_entry& add(const job_record& job, bool fenced_off);
    void remove(const job_key& key);
    job_entry* find(const job_key& key);
    const job_entry* find(const job_key& key) const;
    const std::unordered_map<job_key, job_entry>& entries() const { return entries_; }

    /// Starts the next attempt of a queued task and returns its number.
    attempt_number begin(job_entry& job, int index, const attempt_placement& placement);
    /// Handles a running attempt that this process did not start, or that it started before it lost
    /// the lease of the worker.
    void on_attempt_observed(const task_id& task, attempt_number attempt,
                             const attempt_placement& placement);
    /// Handles a worker's report that an attempt ended. Returns the record to append to the log, or
    /// nothing if the attempt is outdated or the job is not owned by this process.
    std::optional<pb::TaskEnded> on_attempt_ended(const pb::EndedTask& report,
                                                  const worker_id& worker, bool failed_for_good);
    /// Handles an attempt that ended without a report from its worker. Returns false if it is not
    /// the newest active attempt of the task.
    bool on_attempt_lost(const task_id& task, attempt_number attempt);
    /// Unblocks the job's tasks: no attempt of a previous owner can be running any more.
    void lift_fence(const job_key& key);
    /// Marks the job cancelled and its queued tasks done; returns the active attempts, which the
    /// caller must stop.
    std::vector<running_attempt> cancel(const job_key& key);
    /// The state of a task of an owned job, or null if this process does not own the job.
    const task_slot* slot(const task_id& task) const;
    /// The active tasks of each worker.
    const std::map<worker_id, std::set<task_id>>& active_tasks_by_worker() const {
        return active_tasks_by_worker_;
    }
    /// The resources reserved by the customer's active tasks.
    resources active_resources_of(const customer_id& customer) const;

private:
    void activate(job_entry& job, int index, const attempt_placement& placement);
    void deactivate(job_entry& job, int index);
    void requeue(job_entry& job, int index);
    void set_phase(job_entry& job, int index, task_phase phase);

    std::unordered_map<job_key, job_entry> entries_;
    std::map<worker_id, std::set<task_id>> active_tasks_by_worker_;
    std::unordered_map<customer_id, resources> active_resources_;
};

/// An owner's attempt numbers start above its log offset shifted left by this many bits, so the
/// numbers of consecutive owners are at least 2^16 apart.
inline constexpr int attempts_per_owner_bits = 16;

} // namespace figwinch
