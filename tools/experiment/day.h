#pragma once

#include "tools/experiment/day_result.h"
#include "tools/experiment/setup.h"

namespace figwinch::experiment {

/// Plays one day in simulated time. The same setup and seed give the same result.
day_result play_day(const setup& with, std::uint64_t seed);

} // namespace figwinch::experiment
