#pragma once

#include "figwinch/base.h"

#include <vector>

namespace figwinch {

/// The failures of one task, by worker. Owned by `streak_failure_policy`.
struct task_failures {
    struct failure {
        worker_id worker;
        /// The latest attempt that failed on this worker.
        attempt_number attempt{};
        /// Number of attempts that failed on this worker.
        int failed_attempts = 0;
        /// How many of these count against the task; reset to zero when the worker is quarantined.
        int counted = 0;
    };
    /// At most one entry for each worker.
    std::vector<failure> by_worker;
    /// Sum of `counted` of the entries that were dropped from `by_worker`.
    int counted_on_dropped = 0;
};

} // namespace figwinch
