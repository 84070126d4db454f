#pragma once

#include "figwinch/base.h"

#include <vector>

namespace figwinch {

/// The failures and the quarantine state of one worker. Owned by `streak_failure_policy`.
struct worker_record {
    /// Different jobs that failed on the worker since its last success, oldest first. Unchanged
    /// during a quarantine, which is lifted if these failures no longer suffice for it.
    std::vector<job_id> failed_jobs;
    bool quarantined = false;
    /// Length of the current quarantine; doubles with each failed trial up to the maximum.
    duration quarantine{};
    instant quarantined_until{};
    /// Whether a trial task has been admitted and its outcome is awaited. After `trial_until`
    /// another trial may start.
    bool on_trial = false;
    instant trial_until{};
};

} // namespace figwinch
