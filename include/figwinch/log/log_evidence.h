#pragma once

#include "figwinch/base/clock.h"

namespace figwinch {

/// How long a view of the log may be used after it was confirmed.
struct freshness_limits {
    /// Starts need a view confirmed within this.
    duration for_starts = std::chrono::seconds(2);
    /// The longest gap between two answers of the log that still makes an unbroken outage.
    duration max_gap = std::chrono::milliseconds(750);
};

/// What the evidence allows.
enum class freshness {
    /// The tail was seen within the limit: everything may go on.
    confirmed,
    /// The log itself has answered "unavailable" without a gap since the tail was last seen, so
    /// that no change can have been accepted meanwhile: starts may go on.
    outage,
    /// Silence: a change may have been accepted without this process hearing of it. No starts.
    unknown,
};

/// What a process can prove about how current its view of the log is. Rules that must not act on
/// an old view (starts in a data centre, take-overs) ask it before each action. Owned by the
/// log follower of the process; times are this process's own.
///
/// Guards against a drain that was accepted while this process could not hear of it. A drain that
/// is accepted inside the last gap before an outage, and that no process has read, stays unseen
/// until the log is back; `max_gap` bounds that window and docs/DESIGN.md states it.
class log_evidence {
public:
    explicit log_evidence(freshness_limits limits) : limits_(limits) {}

    /// The read that was sent at `sent_at` showed the tail. For a confirmation that a peer relays:
    /// the time when the peer was asked, less the age that the peer states.
    void note_confirmed(instant sent_at);
    /// The log itself answered "unavailable" to a question sent at `sent_at`. Never relayed.
    void note_unavailable(instant sent_at);

    freshness judge(instant now) const;
    /// When the view was last confirmed; meaningless before `ever_confirmed`.
    instant confirmed_at() const { return confirmed_at_; }
    bool ever_confirmed() const { return ever_confirmed_; }

private:
    freshness_limits limits_;
    instant confirmed_at_{};
    instant outage_until_{};
    bool ever_confirmed_ = false;
};

} // namespace figwinch
