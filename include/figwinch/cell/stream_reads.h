#pragma once

#include "figwinch/base.h"

#include <cstdint>

namespace figwinch {

/// Statistics of one process's reads of one stream since the process started.
struct stream_reads {
    std::uint64_t calls = 0;
    /// Bytes of the bodies of the answers.
    std::uint64_t bytes = 0;
    /// Reads that timed out without a complete answer. The log may still have sent one.
    std::uint64_t given_up = 0;
    /// The total duration of all reads, including the time that the log held them until there was a
    /// record.
    duration total_time{};
};

} // namespace figwinch
