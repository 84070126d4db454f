#pragma once

#include "figwinch/base.h"

#include <vector>

namespace figwinch {

/// On how many different workers tasks of one job have failed without any success. Such a job says
/// nothing about the workers that it fails on. Owned by `streak_failure_policy`.
struct job_suspicion {
    /// Workers of failures since the last success, at most as many as make the job suspect.
    std::vector<worker_id> failed_on;
};

} // namespace figwinch
