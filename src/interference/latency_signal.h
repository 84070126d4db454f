#pragma once

#include "figwinch/base.h"

#include <cstdint>

namespace figwinch {

/// The ratio of p99 to target of one service on one host, smoothed by how many requests stand
/// behind each report. Owned by a `host_control`.
class latency_signal {
public:
    /// Reports older than this say nothing of the present.
    static constexpr duration life = std::chrono::seconds(10);

    void add(double ratio, std::int64_t samples, instant now);
    /// A step was taken. Reports that arrive before `valid_from` were measured before the step had
    /// an effect; acting on them would throttle twice for one cause, so they are dropped.
    void restart(instant valid_from);

    /// Whether enough requests stand behind the ratio and the last report is recent.
    bool is_current(instant now) const;
    double ratio() const { return ratio_; }
    /// When the last report arrived, also one that was dropped.
    instant heard_at() const { return heard_at_; }

private:
    double ratio_ = 0;
    double weight_ = 0;
    instant heard_at_{};
    instant valid_from_{};
};

} // namespace figwinch
