#pragma once

#include "figwinch/base.h"

#include <algorithm>

namespace figwinch {

/// The lease that a coordinator asks for where workers would grant a longer one. Bounds how long
/// the tasks of a lost worker have no run; all hosts of a cell can start again within it.
inline constexpr duration longest_lease = std::chrono::milliseconds(5200);

/// What a coordinator is told about its platform, and its own bounds. Defaults suit the stand-ins.
struct cell_settings {
    /// The longest lease that a worker grants.
    duration max_hold = std::chrono::seconds(6);
    /// How long a stop may take on a worker.
    duration stop_bound = std::chrono::milliseconds(900);
    /// How long a finished job's state is kept for callers.
    duration status_kept = std::chrono::seconds(120);
    /// How far apart members of a gang may start.
    duration gang_wait = std::chrono::seconds(3);
    /// How much longer a task takes away from its data.
    double far_factor = 2;
    /// From a worker's notice that it leaves until nothing may be started there.
    duration leave_notice = std::chrono::seconds(2);
    /// From an operator's word that a data centre is taken out until nothing may be started there.
    duration evacuation_notice = std::chrono::seconds(5);

    /// What holds ask for.
    duration lease() const { return std::min(max_hold, longest_lease); }
};

/// How long a coordinator goes on when the log doesn't confirm it. Bounds what a successor has to
/// wait for workers that it can't reach; long enough to sit out the short outages of the log.
inline constexpr duration silence_limit = std::chrono::seconds(5);
/// For how long of that it prolongs leases: later ones end when the last of these does. A successor
/// starts tasks of workers that it can't reach once this time and a lease are over, while outages
/// of the log that are shorter than both end no task.
inline constexpr duration prolonging_limit = std::chrono::seconds(3);
/// A worker's clock may be this much slow: a lease of 6 s can last 6.12 s.
inline constexpr double slowest_clock = 0.98;
/// Beyond a lease's end by the slowest clock, for what rounding and timers add.
inline constexpr duration lapse_slack = std::chrono::milliseconds(100);
/// New jobs are taken up only while the log has confirmed the coordinator within this time, so that
/// a successor knows which jobs its predecessor can't have started.
inline constexpr duration fresh_reign = std::chrono::seconds(1);

/// How long after it was given an order to start can have an effect: 10 times the usual way, and
/// short enough that a start that was held up for seconds is dead when it arrives.
inline constexpr duration start_validity = std::chrono::milliseconds(1500);
/// Left of a notice for an order's way to its worker.
inline constexpr duration order_way = std::chrono::milliseconds(700);

/// Lasting tasks serve their own users and use about this part of what they ask for. Filling tasks
/// got 0.86 of what they asked for whether 0.1 of a worker was free by that or -0.4.
inline constexpr double lasting_use = 0.45;

} // namespace figwinch
