#pragma once

#include "tools/experiment/load_spec.h"

#include "figwinch/cell/job_spec.h"

#include <cstdint>
#include <vector>

namespace figwinch::experiment {

/// What only the workers know of a task.
struct planned_task {
    /// At full pace; below 0: it lasts.
    duration length{};
    /// So many first runs fail.
    std::uint32_t failures = 0;
};

/// A job that a caller hands in.
struct planned_job {
    std::size_t of_class = 0;
    /// From the day's begin.
    duration at{};
    job_spec spec;
    std::vector<std::vector<planned_task>> tasks;
    /// Of tasks that end, core-seconds.
    double work = 0;
};

/// All jobs of a day in the order in which they come. Each class draws from its own source, so that
/// two loads that differ in one class have the same jobs of all others.
std::vector<planned_job> plan_day(const load_spec& load, std::uint64_t seed);

} // namespace figwinch::experiment
