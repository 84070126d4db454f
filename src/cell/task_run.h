#pragma once

#include "cell/throttle_controller.h"
#include "figwinch/cell/queue_name.h"

#include <cstdint>
#include <optional>
#include <string>

namespace figwinch {

/// One run of a task as the coordinator knows it, from the start order until the run is known to be
/// gone.
struct task_run {
    enum class phase {
        /// The start order was issued, but the worker has not confirmed the run.
        starting,
        running,
        /// To be stopped; stop orders are repeated until the worker reports that the run is gone.
        stopping,
    };

    run_number number;
    /// The incarnation of the worker that the run was placed on, by its start time.
    std::uint64_t incarnation = 0;
    /// The task's name in orders and reports; empty before the start order.
    std::string name;
    /// Number of the newest report of the worker that shows the run.
    std::uint64_t shown_in_report = 0;
    phase current_phase = phase::starting;
    /// The worker has answered the start order, or reported the run.
    bool has_started = false;
    /// The run is not active on the worker, but may be among the ended runs that have not been
    /// read.
    bool may_have_ended_unread = false;
    instant ordered_at{};
    /// Since when no order about the run is in flight. A worker's report that was requested later
    /// and does not show the run proves that it is gone.
    std::optional<instant> no_order_since;
    /// When an unanswered start order expires, by the worker's clock.
    std::int64_t start_expires_ms = 0;
    /// Until when the run may exist on a later incarnation of the worker, by the worker's clock:
    /// until a report shows the run, its start order may have reached one, which grants it a full
    /// lease. 0: the order cannot have reached another incarnation, or a report has shown the run.
    std::int64_t may_run_until_ms = 0;
    /// Newest checkpoint that the worker has reported.
    std::string checkpoint;
    int percent = 0;
    /// The percentage from which on `worked` counts: that of the report by which the run was
    /// adopted.
    int first_percent = 0;
    /// Time in which the run may have worked, scaled by its CPU throttle: up to the newest report
    /// (`seen_at`), and up to the last change of its percentage.
    duration worked{};
    duration worked_at_change{};
    instant seen_at{};
    /// From the worker's newest report: tail latency in ms of a latency-critical task, CPU use in
    /// thousandths of a core of any other.
    std::int64_t recent = 0;
    /// Of a latency-critical task: the load from its own users, and its tail latency.
    load_estimate load;
    tail_estimate tail;
    int throttle_wanted = 100;
    /// Since when a best-effort run is to stand still; nothing while it isn't.
    std::optional<instant> paused_since;
    /// The run has stood still for too long and is throttled no further than a throttled start.
    bool has_least_speed = false;
    static constexpr int throttle_unknown = -1;
    /// CPU throttle in force, in percent of full speed, or `throttle_unknown`.
    int throttle_in_force = 100;
    instant throttle_sent_at{};
    bool throttle_in_flight = false;
    /// Until when an unanswered throttle order may take effect; nothing if there is none, or once
    /// an order that was sent later has been answered.
    std::optional<instant> throttle_uncertain_until;
    bool stop_in_flight = false;
    instant next_stop{};
};

} // namespace figwinch
