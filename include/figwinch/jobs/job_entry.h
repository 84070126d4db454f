#pragma once

#include "figwinch/base.h"
#include "figwinch/jobs/job_key.h"
#include "jobs.pb.h"

#include <set>
#include <string>
#include <vector>

namespace figwinch {

enum class task_phase {
    /// An earlier owner may have an attempt running; nothing may start.
    blocked,
    queued,
    /// An attempt is starting, running or being stopped.
    active,
    done,
};

/// A task as the owner of its job sees it.
struct task_slot {
    task_phase phase = task_phase::queued;
    /// The newest attempt that was begun or seen.
    attempt_number attempt;
    /// Where that attempt is or was.
    worker_id worker;
    /// Epoch of the worker's lease under which it was begun or seen.
    lease_epoch epoch;
    /// When this process began or first saw it.
    instant since{};
    /// What it holds of the worker while active.
    resources committed;
    /// From the newest ended attempt that had one; the next attempt resumes from it.
    std::string checkpoint;
    attempt_number checkpoint_of;
    bool failed = false;
};

/// A job that this process owns. Owned by `job_book`.
struct job_entry {
    job_key key;
    pb::JobSpec spec;
    std::vector<task_slot> tasks;
    std::set<int> queued;
    int active = 0;
    /// When this process took the job up.
    instant taken_up_at{};
    int blocked = 0;
    int done = 0;
    bool cancelled = false;
    /// While true, tasks that end go back to `blocked`.
    bool fenced_off = false;
    /// A record that gives the job away has been written; nothing starts any more.
    bool leaving = false;
    /// New attempts are numbered above this.
    attempt_number attempt_base;

    bool over() const { return cancelled || done == static_cast<int>(tasks.size()); }
};

} // namespace figwinch
