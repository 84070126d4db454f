#pragma once

#include "figwinch/base.h"

#include <optional>

namespace figwinch {

/// How fast the log takes appends to the intake stream, as this host sees it: the time from
/// sending one to its answer, which is what waits before it in the log and its own service. Slow
/// means many times what is usual here, so that the same rule holds on near and far links.
/// Owned by `intake_writer`.
class append_pace {
public:
    explicit append_pace(const clock& time) : time_(time) {}

    /// An append was answered after `took`.
    void note(duration took);
    /// An append has been on its way for `waited`.
    void note_waiting(duration waited);
    /// The log, which answers otherwise, refused an append: its queue is full.
    void note_full();

    bool is_slow() const { return slow_; }
    /// The newest append's time.
    duration latest() const { return latest_; }
    duration usual() const;
    /// The quickest append since the log became slow, which waited least in its queue.
    duration least() const { return least_.value_or(duration::zero()); }
    /// Whether an append was answered within `span`.
    bool measured_within(duration span) const;
    /// How often the log became slow.
    std::uint64_t times_slow() const { return times_slow_; }

private:
    void become_slow(duration took);
    void become_fast(duration took);

    const clock& time_;
    bool slow_ = false;
    instant slow_since_{};
    duration latest_{};
    instant measured_at_{};
    std::optional<duration> usual_;
    std::optional<duration> least_;
    std::uint64_t times_slow_ = 0;
};

} // namespace figwinch
