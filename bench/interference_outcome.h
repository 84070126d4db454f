#pragma once

#include <cstdint>

namespace figwinch {

/// What one run of the fake cluster came to.
struct interference_outcome {
    /// p99 over all requests of latency divided by target.
    double p99_ratio = 0;
    double over_target_percent = 0;
    /// Useful batch work, core-seconds a second; work lost by evictions is taken off.
    double batch_cores = 0;
    std::int64_t evictions = 0;
    std::int64_t throttle_changes = 0;
};

} // namespace figwinch
