#pragma once

#include <cstdint>

namespace figwinch {

/// The durable record of a worker that may have tasks. Part of `cell_state`.
struct worker_entry {
    /// The incarnation of the worker that received the tasks: its start time in ms since 1970.
    std::uint64_t incarnation = 0;
    /// The worker is unresponsive, so the coordinator no longer renews its lease. All runs on it
    /// end when the lease that was in effect at the time of this record expires.
    bool unresponsive = false;
    /// All leases of the worker have expired: it has no runs. An absent record doesn't say so.
    bool lease_expired = false;
};

} // namespace figwinch
