#pragma once

#include "figwinch/base.h"

#include <algorithm>

namespace figwinch {

/// Upper bound on the lease that a coordinator requests, even if workers would grant a longer one.
/// It bounds how long the tasks of a lost worker are down, and is long enough for all hosts of a
/// cell to restart before a lease expires.
inline constexpr duration max_requested_lease = std::chrono::milliseconds(5200);

/// Platform parameters and timeouts of a coordinator. The defaults match the stand-in platform.
struct cell_settings {
    /// Longest lease that a worker grants.
    duration max_granted_lease = std::chrono::seconds(6);
    /// Maximum time that a worker takes to stop a run.
    duration stop_timeout = std::chrono::milliseconds(900);
    /// How long the state of a finished job is kept for callers.
    duration status_retention = std::chrono::seconds(120);
    /// Maximum time between the starts of the members of a gang.
    duration gang_start_window = std::chrono::seconds(3);
    /// Slowdown factor of a task that runs far from its data.
    double remote_data_slowdown = 2;
    /// Time between a worker's notice that it leaves and the moment from which no run may be
    /// started on it.
    duration leave_notice = std::chrono::seconds(2);
    /// Time between the notice that a worker's capacity has shrunk and the moment from which no run
    /// may be started that exceeds it.
    duration shrink_notice = std::chrono::seconds(3);
    /// Time between an operator's notice that a data centre is evacuated and the moment from which
    /// no run may be started there.
    duration evacuation_notice = std::chrono::seconds(5);

    /// Size limit of one record of the log, with its key.
    std::size_t max_record_bytes = std::size_t{256} * 1024;

    /// Lease duration that lease renewals request.
    duration lease() const { return std::min(max_granted_lease, max_requested_lease); }
};

/// How long a coordinator continues while the log does not confirm its leadership. It bounds how
/// long a successor has to wait for workers that it cannot reach, and is long enough to bridge
/// short outages of the log.
inline constexpr duration max_unconfirmed_leadership = std::chrono::seconds(5);
/// How long after the last confirmation by the log a coordinator renews leases at full length;
/// leases requested later end when the last full one does. A successor restarts the tasks of
/// unreachable workers after this time plus one lease, while an outage of the log that is shorter
/// than this sum ends no task.
inline constexpr duration full_renewal_limit = std::chrono::seconds(3);
/// Minimum rate of a worker's clock relative to real time: by a clock this slow, a lease of 6 s
/// lasts 6.12 s.
inline constexpr double min_clock_rate = 0.98;
/// Margin added to a lease expiry computed for the slowest clock, for rounding and timer delays.
inline constexpr duration lease_expiry_slack = std::chrono::milliseconds(100);
/// A coordinator takes up new jobs only if the log has confirmed its leadership within this time,
/// so that a successor knows which jobs its predecessor cannot have started.
inline constexpr duration max_confirmation_age = std::chrono::seconds(1);

/// How long after it was issued a start order may take effect: 10 times the usual delivery time,
/// and short enough that an order delayed by seconds has expired when it arrives.
inline constexpr duration start_validity = std::chrono::milliseconds(1500);
/// Part of a notice period or of an order's validity that is reserved for the delivery of the order
/// to its worker.
inline constexpr duration order_delivery_time = std::chrono::milliseconds(700);

/// Expected utilisation of the CPU that service tasks request. Best-effort tasks got 0.86 of the
/// CPU that they requested whether this estimate left them 0.1 of a worker or -0.4.
inline constexpr double service_cpu_utilisation = 0.45;

} // namespace figwinch
