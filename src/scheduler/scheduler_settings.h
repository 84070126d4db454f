#pragma once

#include "figwinch/base.h"
#include "figwinch/lease.h"
#include "figwinch/membership.h"

namespace figwinch {

struct scheduler_settings {
    member self;
    lease_settings leases;
    freshness_limits freshness;
    /// How often waiting events are appended to the jobs stream, in one record.
    duration flush_every = std::chrono::milliseconds(200);
    duration append_retry = std::chrono::milliseconds(500);
    /// How long a submission or cancellation may wait for the log.
    duration request_timeout = std::chrono::seconds(3);
    /// How often peers are asked about tasks on workers that they hold.
    duration fence_every = std::chrono::seconds(1);
    /// How long leases are renewed while the log can't be confirmed and doesn't answer either. A
    /// take-over of tasks on unreachable workers waits this long plus a lapse.
    duration renew_unconfirmed = std::chrono::minutes(2);
    /// How long a command may be on its way after it was decided.
    duration call_margin = std::chrono::milliseconds(500);
    /// An owner that no membership message has named for this long after the start is dead.
    duration unknown_owner_grace = std::chrono::seconds(5);
    duration takeover_retry = std::chrono::seconds(5);
    /// Each job is written to the log again after this long; the log must keep records for three.
    duration snapshot_every = std::chrono::hours(1);
    /// Starts a second, at most, in general and right after the data centre came back.
    double max_start_rate = 400;
    double first_start_rate = 4;
    /// Time in which the rate after a return doubles.
    duration start_ramp = std::chrono::seconds(3);
    /// How often batch work on hosts of executors is judged.
    duration interference_every = std::chrono::milliseconds(500);
    /// How long a host takes no batch work after a task was evicted from it.
    duration closed_after_eviction = std::chrono::seconds(30);
    /// Queued jobs that one placement pass looks at.
    std::size_t max_visits = 512;
    /// A job of which nothing runs, and for which there has been no room here for this long, is
    /// given to a scheduler that has room.
    duration starved_after = std::chrono::seconds(3);
    /// Done jobs that are remembered, so that one which is submitted again is not run again.
    std::size_t keep_done_jobs = 5'000;
};

} // namespace figwinch
