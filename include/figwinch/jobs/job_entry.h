#pragma once

#include "figwinch/base.h"
#include "figwinch/jobs/job_key.h"
#include "jobs.pb.h"

#include <set>
#include <string>
#include <vector>

namespace figwinch {

enum class task_phase {
    /// An attempt started by a previous owner may still be running, so no new attempt may start.
    blocked,
    queued,
    /// An attempt is starting, running or being stopped.
    active,
    done,
};

/// The state of one task in the scheduler that owns its job.
struct task_slot {
    task_phase phase = task_phase::queued;
    /// The newest attempt that was started, observed on a worker or reported as ended.
    attempt_number attempt;
    /// The worker that runs or ran that attempt.
    worker_id worker;
    /// Epoch of the worker's lease under which that attempt was started or observed.
    lease_epoch epoch;
    /// When this process started or first observed that attempt.
    instant since{};
    /// The resources reserved on the worker while the task is active.
    resources committed;
    /// Checkpoint of the newest ended attempt that reported one; the next attempt resumes from it.
    std::string checkpoint;
    attempt_number checkpoint_attempt;
    bool failed = false;
};

/// A job that this scheduler process owns, with its tasks. Held in `job_book`.
struct job_entry {
    job_key key;
    pb::JobSpec spec;
    std::vector<task_slot> tasks;
    std::set<int> queued;
    int active = 0;
    /// When this process became the owner of the job.
    instant acquired_at{};
    int blocked = 0;
    int done = 0;
    bool cancelled = false;
    /// Attempts of a previous owner may still be running. While true, a task whose attempt ends and
    /// that must run again becomes `blocked` instead of `queued`.
    bool fenced_off = false;
    /// A record that moves the job to another scheduler has been written; no attempt may start.
    bool moving = false;
    /// Attempts started by this owner have numbers above this one.
    attempt_number attempt_base;

    bool has_ended() const { return cancelled || done == static_cast<int>(tasks.size()); }
};

} // namespace figwinch
