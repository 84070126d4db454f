#pragma once

#include "figwinch/base.h"

#include <cstdint>
#include <optional>

namespace figwinch {

/// What can be said of a worker's own steady clock, from the times that its answers carry. One for
/// each life of a worker.
class worker_clock {
public:
    /// The worker's clock stood at `clock_ms` or later when an answer was received.
    void observe(std::int64_t clock_ms, instant received);
    /// A time that the worker's clock has reached by `now` for certain, even when it is the slowest
    /// that is allowed. Nothing before the first answer.
    std::optional<std::int64_t> at_least(instant now) const;

private:
    std::optional<std::int64_t> clock_ms_;
    instant received_{};
};

} // namespace figwinch
