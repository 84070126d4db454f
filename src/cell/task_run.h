#pragma once

#include "cell/throttle_controller.h"
#include "figwinch/cell/queue_name.h"

#include <cstdint>
#include <optional>
#include <string>

namespace figwinch {

/// One run of a task as the coordinator knows it: from the order to start until it is known that
/// the run can't be there any more.
struct task_run {
    enum class phase {
        /// Ordered; the worker hasn't said that it has it.
        starting,
        running,
        /// We want it gone; orders to stop go out until the worker says that it is.
        stopping,
    };

    run_number number;
    /// The task's name as workers know it; empty before the order to start.
    std::string name;
    /// The newest report of its worker that shows it.
    std::uint64_t shown_in = 0;
    phase now = phase::starting;
    instant ordered_at{};
    /// Since when no order of ours that concerns the run is on its way. A report asked for later
    /// that doesn't show the run proves that it is gone.
    std::optional<instant> settled_at;
    /// On the worker's clock: an unanswered start has no effect from then on.
    std::int64_t start_until_ms = 0;
    /// On the worker's clock. Until a report shows the run, its start may have reached a new life
    /// of the worker, which grants it a whole lease; 0: no other life can have got the start, or a
    /// report has shown the run.
    std::int64_t may_live_until_ms = 0;
    /// The newest checkpoint that the worker has told.
    std::string checkpoint;
    int percent = 0;
    /// Time in which it may have worked, by its pace, up to the newest report (`seen_at`), and up
    /// to the last change of its percentage.
    duration worked{};
    duration worked_at_change{};
    instant seen_at{};
    std::int64_t recent = 0;
    /// Of a serving task: what its own users ask of it.
    load_estimate load;
    tail_estimate tail;
    int pace_wanted = 100;
    static constexpr int pace_unknown = -1;
    /// What it works at, per cent, or `pace_unknown`.
    int pace_set = 100;
    instant pace_sent_at{};
    bool pace_in_flight = false;
    /// Until when an order to pace that got no answer may still be carried out; nothing when there
    /// is none, or when an answered order was sent later.
    std::optional<instant> pace_doubted_until;
    bool stop_in_flight = false;
    instant next_stop{};
};

} // namespace figwinch
