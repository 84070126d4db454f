#pragma once

#include "cell/job_state.h"

namespace figwinch {

/// What is left of an open job, and whether that can still be in time.
struct job_outlook {
    job_prospect prospect = job_prospect::in_time;
    /// Processor time, core-seconds.
    double work_left = 0;
};

job_outlook outlook_of(const job_state& job, instant now);

/// Whether `one` is served before `other`: by priority, then by whether they can be in time, then
/// the one with less work left. Under overload an order of arrival makes everybody late, and the
/// nearest objective first spends most on jobs that just miss it.
bool is_served_before(const job_state& one, const job_state& other);

} // namespace figwinch
