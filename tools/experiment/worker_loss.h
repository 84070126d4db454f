#pragma once

#include "figwinch/base.h"

#include <cstdint>

namespace figwinch::experiment {

/// Workers that are gone at one moment, with all that ran there.
struct worker_loss {
    duration at{};
    /// So many, drawn by chance; with a data centre, all of that one instead.
    std::int64_t workers = 0;
    /// Counted from 0; -1: none.
    std::int64_t data_centre = -1;
    /// They come back empty after this time; 0: never.
    duration back_after{};
};

} // namespace figwinch::experiment
