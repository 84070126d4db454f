#pragma once

#include "figwinch/base.h"

#include <cstdint>
#include <optional>

namespace figwinch {

/// Estimates a lower bound of a worker's steady clock from the timestamps in its answers. One
/// instance per incarnation of a worker.
class worker_clock {
public:
    /// Records that the worker's clock was at `clock_ms` or later when an answer was received.
    void observe(std::int64_t clock_ms, instant received);
    /// A time that the worker's clock has certainly reached by `now`, even if it runs as slowly as
    /// `min_clock_rate` permits. Nothing before the first answer.
    std::optional<std::int64_t> lower_bound(instant now) const;

private:
    std::optional<std::int64_t> clock_ms_;
    instant received_{};
};

} // namespace figwinch
