#pragma once

#include "figwinch/base.h"

#include <optional>

namespace figwinch {

/// Tracks the latency of this host's appends to the intake stream, from sending a request to its
/// reply: queueing in the log plus service time. The log counts as slow while appends take many
/// times the baseline measured on this host, so that one rule fits links of low and high latency.
/// Owned by `intake_writer`.
class append_latency_monitor {
public:
    explicit append_latency_monitor(const clock& time) : time_(time) {}

    /// Records the latency of an append that was answered.
    void on_answered(duration took);
    /// Reports an append that has been in flight for `waited` without an answer.
    void on_pending(duration waited);
    /// Reports that the log rejected an append because its queue is full.
    void on_queue_full();

    bool is_slow() const { return slow_; }
    /// Latency of the most recent append.
    duration latest() const { return latest_; }
    /// Latency of an append while the log isn't slow: a moving average that follows lower values
    /// at once.
    duration baseline() const;
    /// Lowest latency since the log became slow: that of the append which queued least.
    duration lowest_while_slow() const { return lowest_while_slow_.value_or(duration::zero()); }
    /// Whether an append was answered within the last `span`.
    bool measured_within(duration span) const;
    /// How many times the log has become slow.
    std::uint64_t times_slow() const { return times_slow_; }

private:
    void become_slow(duration took);
    void become_fast(duration took);

    const clock& time_;
    bool slow_ = false;
    instant slow_since_{};
    duration latest_{};
    instant measured_at_{};
    std::optional<duration> baseline_;
    std::optional<duration> lowest_while_slow_;
    std::uint64_t times_slow_ = 0;
};

} // namespace figwinch
