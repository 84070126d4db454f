#pragma once

#include <chrono>

namespace figwinch {

/// Time spans inside the rules; microseconds keep routing decisions exact.
using duration = std::chrono::microseconds;

/// A point on this process's monotonic time line. Instants of two processes can't be compared.
using instant = std::chrono::time_point<std::chrono::steady_clock, duration>;

/// A point in civil time, for people and audit records only; no rule decides by it.
using wall_time = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

/// Source of time. Rules take one by reference or an `instant` by value and never ask the system.
class clock {
public:
    virtual ~clock() = default;
    virtual instant now() const = 0;
    virtual wall_time wall_now() const = 0;
};

/// The system's clocks, for daemons.
class system_clock final : public clock {
public:
    instant now() const override;
    wall_time wall_now() const override;
};

/// A clock that moves only when told to, for tests and replays.
class manual_clock final : public clock {
public:
    instant now() const override { return now_; }
    wall_time wall_now() const override;
    void advance(duration by) { now_ += by; }

private:
    instant now_{std::chrono::hours(1)};
};

} // namespace figwinch
