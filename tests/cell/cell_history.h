#pragma once

#include "tests/cell/cell_world.h"

namespace figwinch::sim {

/// The result of one history. An empty `violation`: no invariant was violated and every job ended.
struct history_outcome {
    std::string violation;
    std::uint64_t starts = 0;
    std::uint64_t fault_count = 0;
    /// Hash of all events with their times and of the records left in the store. Equal for every
    /// run of a seed with the same number of faults, in any process.
    std::uint64_t digest = 0;
};

/// Runs one randomized history of a cell: jobs of all kinds with the given number of faults, some
/// at the same time, then a phase without faults. No invariant may be violated at any time,
/// including the time limit on restarts of service tasks (`service_downtime_rule`). At the end
/// every accepted job must have ended and every service task must run.
history_outcome run_history(std::uint64_t seed, std::size_t faults);

} // namespace figwinch::sim
