#pragma once

#include "figwinch/base.h"

#include <vector>

namespace figwinch {

/// Where one task has failed. Owned by `streak_failure_policy`.
struct task_failures {
    struct failure {
        worker_id worker;
        /// The newest attempt that failed here.
        attempt_number attempt{};
        int times = 0;
        /// How many of them count; none once the worker is held to be the cause.
        int counted = 0;
    };
    /// At most one entry for each worker.
    std::vector<failure> on_workers;
    /// Counted failures of entries that were dropped.
    int counted_before = 0;
};

} // namespace figwinch
