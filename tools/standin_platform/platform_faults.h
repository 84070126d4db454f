#pragma once

#include <cstdint>
#include <set>
#include <string>

namespace figwinch {

/// The faults that are in force in the stand-in.
struct platform_faults {
    /// The log answers 503 and appends nothing.
    bool log_down = false;
    /// The log accepts calls and never answers; appends are not kept.
    bool log_silent = false;
    /// Each answer of the log comes this much later.
    std::int64_t log_slow_ms = 0;
    /// The next appends are kept and never answered.
    std::int64_t lose_ack = 0;
    /// Callers (Figwinch-Node) that get no answer to anything; their appends are not kept.
    std::set<std::string> cut_nodes;
};

} // namespace figwinch
