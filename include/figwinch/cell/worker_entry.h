#pragma once

#include <cstdint>

namespace figwinch {

/// What the log keeps of a worker that may have tasks. Part of `cell_state`.
struct worker_entry {
    /// The life that got them, ms since 1970.
    std::uint64_t born_ms = 0;
    /// Its lease isn't prolonged any more, because it doesn't answer: what runs there ends with the
    /// lease that it had when this was written.
    bool silent = false;
};

} // namespace figwinch
