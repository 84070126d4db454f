#pragma once

#include "tools/experiment/day.h"

#include <cstddef>
#include <functional>
#include <vector>

namespace figwinch::experiment {

/// Which days to play.
struct day_range {
    std::uint64_t first_seed = 1;
    std::size_t seeds = 1;
    std::size_t threads = 1;
};

/// Plays every setup with every seed, each day on one of the threads. Returns the days setup by
/// setup, in the order of seeds; threads change nothing in them. `progress` is called after each
/// day, by one thread at a time.
std::vector<std::vector<day_result>>
play_days(const std::vector<setup>& setups, const day_range& range,
          const std::function<void(std::size_t played, std::size_t of)>& progress);

} // namespace figwinch::experiment
