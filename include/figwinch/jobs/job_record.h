#pragma once

#include "figwinch/base.h"
#include "figwinch/jobs/job_key.h"
#include "jobs.pb.h"
#include "worker.pb.h"

#include <map>
#include <string>

namespace figwinch {

/// How the newest logged attempt of a task ended.
struct task_outcome {
    attempt_number attempt;
    pb::TaskEnd end = pb::TASK_END_UNSPECIFIED;
    std::string checkpoint;
    std::string worker;
    /// The task never runs again: finished, failed for good or cancelled.
    bool final = false;
};

/// One accepted job, as the log tells it.
struct job_record {
    job_key key;
    pb::JobSpec spec;
    incarnation_id owner;
    data_centre_id owner_data_centre;
    /// The record by which the owner got the job; its attempts are numbered above this.
    log_offset owned_since;
    bool cancelled = false;
    /// Only tasks of which an attempt has ended.
    std::map<int, task_outcome> tasks;
    int final_tasks = 0;
    /// The newest record that holds the whole job; it is written again before that one expires.
    log_offset kept_at;

    bool done() const { return cancelled || final_tasks >= spec.tasks(); }
    /// A finished job that the manifest declares must be known for as long as it does, or it would
    /// be created and run again. Its owner cancels it once the manifest has dropped it.
    bool is_kept_when_done() const { return is_manifest_job_id(spec.id()) && !cancelled; }
};

} // namespace figwinch
