#pragma once

#include "figwinch/base.h"

#include <vector>

namespace figwinch {

/// Where one task has failed. Owned by `streak_failure_policy`.
struct task_failures {
    struct failure {
        worker_id worker;
        /// False once the worker rather than the task is held to be the cause.
        bool counted = true;
    };
    /// At most one entry for each worker.
    std::vector<failure> on_workers;
};

} // namespace figwinch
