#pragma once

#include "figwinch/base.h"

#include <vector>

namespace figwinch {

/// What `streak_failure_policy` knows of one worker.
struct worker_record {
    /// Different jobs that failed here since the last success, oldest first; kept during a
    /// quarantine as its ground.
    std::vector<job_id> failed_jobs;
    bool quarantined = false;
    /// The quarantine that is running or was served last; doubles with each failed trial.
    duration quarantine{};
    instant quarantined_until{};
    /// A task was let through as a trial and its outcome is awaited until `trial_until`.
    bool on_trial = false;
    instant trial_until{};
};

} // namespace figwinch
