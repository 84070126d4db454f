#pragma once

#include "tests/cell/cell_world.h"

namespace figwinch::sim {

/// What a history found. Empty text: every rule was kept and every job came to its end.
struct history_outcome {
    std::string fault;
    std::uint64_t starts = 0;
    std::uint64_t faults_played = 0;
};

/// Plays one random history of a cell: jobs of all kinds, with as many faults as named, some at the
/// same time; then calm. During it no rule may be broken, that of lasting tasks included
/// (`service_downtime_rule`), and after it every job that was accepted has to end, and every
/// lasting task to run.
history_outcome play_history(std::uint64_t seed, std::size_t faults);

} // namespace figwinch::sim
