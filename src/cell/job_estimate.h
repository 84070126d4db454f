#pragma once

#include "cell/job_state.h"

namespace figwinch {

/// The remaining work of an open job, and whether the job can still meet its time objective.
struct job_estimate {
    job_prospect prospect = job_prospect::in_time;
    /// The estimated remaining CPU time, in core-seconds.
    double work_left = 0;
};

job_estimate estimate_job(const job_state& job, instant now);

/// Whether `one` is served before `other`. Orders jobs by priority, then by prospect (in time,
/// late, lost), then by the remaining work, least first. Under overload, first-come first-served
/// would make all jobs late, and earliest-deadline-first would spend most capacity on jobs that
/// narrowly miss their deadline.
bool is_served_before(const job_state& one, const job_state& other);

} // namespace figwinch
