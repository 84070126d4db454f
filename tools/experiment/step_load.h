#pragma once

#include "figwinch/base.h"

#include <cstdint>
#include <vector>

namespace figwinch::experiment {

/// One step of a class of jobs: what its tasks are and how well their submitter knows them.
struct step_load {
    std::int64_t tasks = 1;
    /// Median of the run times at full pace.
    duration length = std::chrono::seconds(1);
    /// Standard deviation of the run times' logarithm.
    double spread = 0;
    /// The submitter's guess: so many times `length`, and the standard deviation of its logarithm.
    double guess_factor = 1;
    double guess_spread = 0;
    /// Of one task.
    double cores = 1;
    std::int64_t memory_mib = 256;
    /// Numbers of earlier steps that must have ended first.
    std::vector<std::uint32_t> after;
};

} // namespace figwinch::experiment
