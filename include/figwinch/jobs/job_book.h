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

/// An attempt that is to be stopped.
struct attempt_place {
    task_id task;
    attempt_number attempt;
    worker_id worker;
};

/// Where and when an attempt was begun or seen, and what it holds of the worker.
struct attempt_site {
    worker_id worker;
    lease_epoch epoch;
    resources size;
    instant now{};
};

/// The jobs that one process owns, with the state of each task. Owned by a scheduler.
///
/// Guards against a task in two places: a new attempt begins only from `queued`, and a task is
/// queued only when its newest attempt is known to be over. Attempt numbers only grow, over owners
/// too: they begin above the log offset by which the owner got the job.
class job_book {
public:
    /// Takes up a job from the log. `fenced_off`: an earlier owner may still have attempts running.
    job_entry& add(const job_record& job, bool fenced_off);
    void remove(const job_key& key);
    job_entry* find(const job_key& key);
    const job_entry* find(const job_key& key) const;
    const std::unordered_map<job_key, job_entry>& entries() const { return entries_; }

    /// Begins the next attempt of a queued task.
    attempt_number begin(job_entry& job, int index, const attempt_site& site);
    /// An attempt runs that this process did not begin, or began before it lost the worker.
    void note_found(const task_id& task, attempt_number attempt, const attempt_site& site);
    /// The newest attempt ended; empty when the report is about an older one or a job of others.
    /// The record is to be written to the log.
    std::optional<pb::TaskEnded> note_ended(const pb::EndedTask& report, const worker_id& worker,
                                            bool failed_for_good);
    /// The attempt is over without a report; false when it isn't the newest.
    bool note_gone(const task_id& task, attempt_number attempt);
    /// Nothing of earlier owners can run any more.
    void lift_fence(const job_key& key);
    /// Ends every task of the job; returns the attempts to be stopped.
    std::vector<attempt_place> cancel(const job_key& key);
    /// The slot of a task of an owned job, or null.
    const task_slot* slot(const task_id& task) const;
    /// Active tasks by the worker that they are on.
    const std::map<worker_id, std::set<task_id>>& active_on() const { return active_on_; }
    /// What the customer's active tasks hold.
    resources active_of(const customer_id& customer) const;

private:
    void activate(job_entry& job, int index, const attempt_site& site);
    void deactivate(job_entry& job, int index);
    void requeue(job_entry& job, int index);
    void set_phase(job_entry& job, int index, task_phase phase);

    std::unordered_map<job_key, job_entry> entries_;
    std::map<worker_id, std::set<task_id>> active_on_;
    std::unordered_map<customer_id, resources> active_of_;
};

/// How far attempt numbers of consecutive owners lie apart.
inline constexpr int attempts_per_owner_bits = 16;

} // namespace figwinch
