#pragma once

#include "figwinch/base.h"

#include <vector>

namespace figwinch {

/// The workers on which tasks of one job have failed since the job's last success. Failures of a
/// job that fails on several workers are weak evidence against any one of them. Owned by
/// `streak_failure_policy`.
struct job_failures {
    /// Distinct workers; no more are added once there are enough to make the job suspect.
    std::vector<worker_id> failed_on;
};

} // namespace figwinch
