#pragma once

#include "figwinch/base.h"

#include <cstdint>

namespace figwinch {

/// What a process has read of one stream since its start.
struct stream_reads {
    std::uint64_t calls = 0;
    /// Of the answers' bodies.
    std::uint64_t bytes = 0;
    /// Reads that were given up without a whole answer. The log may still have sent one.
    std::uint64_t given_up = 0;
    /// From the begin of the calls to their ends, in all. A read may wait for a record.
    duration taken{};
};

} // namespace figwinch
