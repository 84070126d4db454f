#pragma once

#include "figwinch/base.h"
#include "figwinch/jobs/job_key.h"
#include "jobs.pb.h"
#include "worker.pb.h"

#include <map>
#include <string>

namespace figwinch {

/// How the newest attempt of a task ended, according to the log.
struct task_outcome {
    attempt_number attempt;
    pb::TaskEnd end = pb::TASK_END_UNSPECIFIED;
    std::string checkpoint;
    std::string worker;
    /// The task will not run again: it finished, failed permanently or was cancelled.
    bool final = false;
};

/// The state of one accepted job, as recorded in the log.
struct job_record {
    job_key key;
    pb::JobSpec spec;
    incarnation_id owner;
    data_centre_id owner_data_centre;
    /// Offset of the record (move, take-over or restored snapshot) that made `owner` the owner;
    /// none if the owner itself accepted the job. The owner's attempt numbers start above a base
    /// derived from it.
    log_offset owned_since;
    bool cancelled = false;
    /// Outcomes by task index; tasks of which no attempt has ended have none.
    std::map<int, task_outcome> tasks;
    int final_tasks = 0;
    /// Offset of the newest record with the job's complete state. The owner writes a new snapshot
    /// before that record expires.
    log_offset full_state_offset;

    bool is_done() const { return cancelled || final_tasks >= spec.tasks(); }
    /// Whether the job must be retained after it is done. A job that the manifest declares is
    /// retained while it is declared, since otherwise it would be created and run again. Its owner
    /// cancels it when the manifest no longer declares it.
    bool is_retained_when_done() const { return is_manifest_job_id(spec.id()) && !cancelled; }
};

} // namespace figwinch
