#pragma once

#include "figwinch/base.h"

namespace figwinch {

struct lease_settings {
    /// Duration of the lease on a worker.
    duration worker_lease = std::chrono::seconds(15);
    duration renew_every = std::chrono::seconds(5);
    /// Duration of the lease on each task; the worker stops the task when it lapses.
    duration task_lease = std::chrono::seconds(30);
    /// Nothing is started when less than this is left of the lease by the holder's own count.
    /// Covers the way to the worker and the difference of two clocks over one lease.
    duration safety_margin = std::chrono::seconds(2);
    /// How long after it was sent a start may still take effect, however late it arrives. Together
    /// with the freshness of the view this bounds how long after a data centre was taken out, or a
    /// job cancelled, anything starts.
    duration start_within = std::chrono::seconds(2);
    /// Longest difference of two clocks over one task lease, and of a command's way.
    duration drift = std::chrono::seconds(5);
    duration retry_after = std::chrono::seconds(1);
    /// How long a worker may leave commands unanswered before the holder falls silent, so that the
    /// leases of its tasks are sure to lapse.
    duration give_up_after = std::chrono::seconds(10);
    /// How long a silent worker stays untouched after its leases have lapsed.
    duration quiet_for = std::chrono::seconds(5);
    /// How long another scheduler must have been the preferred one before a lease is released to
    /// it.
    duration hand_over_after = std::chrono::seconds(5);

    /// After this long without any command, nothing that ran on a worker runs any more.
    duration lapse() const { return task_lease + drift; }
};

} // namespace figwinch
