#pragma once

#include "figwinch/base.h"

namespace figwinch::experiment {

/// A part of the day in which the log takes longer.
struct slow_log {
    duration from{};
    duration to{};
    /// Of each call.
    duration delay = std::chrono::milliseconds(4);
};

} // namespace figwinch::experiment
