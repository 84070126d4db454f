#pragma once

#include "cell/job_state.h"

namespace figwinch {

/// The remaining work of an open job, and whether the job can still meet its time objective.
struct job_estimate {
    job_prospect prospect = job_prospect::in_time;
    /// The estimated remaining CPU time, in core-seconds.
    double work_left = 0;
    /// When the prospect changes if the job makes no progress; never if it is lost.
    instant prospect_until = instant::max();
};

job_estimate estimate_job(const job_state& job, instant now);

service_order service_order_of(const job_state& job);

/// Whether `one` is served before `other`.
bool is_served_before(const job_state& one, const job_state& other);

} // namespace figwinch
