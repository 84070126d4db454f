#pragma once

#include "figwinch/cell/cell_config.h"
#include "figwinch/cell/cell_settings.h"
#include "figwinch/cell/cell_state.h"
#include "figwinch/cell/coordinator_view.h"
#include "figwinch/cell/progress_writer.h"
#include "figwinch/cell/step_down.h"
#include "figwinch/cell/worker_advisor.h"
#include "figwinch/cell/worker_orders.h"

#include <absl/container/flat_hash_set.h>

#include <memory>
#include <vector>

namespace figwinch {

/// Counters and gauges of a coordinator, for metrics and status pages.
struct coordinator_counts {
    std::size_t open_jobs = 0;
    std::size_t running = 0;
    std::size_t workers = 0;
    std::size_t workers_unresponsive = 0;
    /// Workers on which a predecessor may have started tasks and that have not reported yet.
    std::size_t workers_unresolved = 0;
    std::uint64_t starts = 0;
    /// Start orders that this host, or a relay, dropped unsent.
    std::uint64_t starts_dropped = 0;
    /// Runs of a gang that ended because a member could not be started in time.
    std::uint64_t gang_failures = 0;
    std::uint64_t stops = 0;
    std::uint64_t lease_renewals = 0;
    std::uint64_t throttle_orders = 0;
    std::uint64_t advice_calls = 0;
    /// Runs that were moved to another worker because they made no progress or lagged behind.
    std::uint64_t stragglers = 0;
    std::uint64_t placement_rounds = 0;
    /// Placement rounds that ended before every task that waits had been looked at.
    std::uint64_t rounds_cut_short = 0;
    /// Jobs looked at by periodic work, by placement, and after a change of theirs.
    std::uint64_t jobs_examined = 0;
    /// Workers looked at by searches for candidates.
    std::uint64_t workers_examined = 0;
};

/// Schedules a cell during one leadership term: decides every start, stop and CPU throttle.
/// Contains the rules only: it uses an injected clock and reaches workers and log through
/// interfaces. Its initial state comes from the log; the runs it learns from the workers, each of
/// which rejects orders of earlier epochs after the first order with the new epoch. Owned by the
/// host's daemon.
class coordinator {
public:
    /// Interfaces and callbacks that a coordinator works with; they must outlive it.
    struct dependencies {
        const clock& time;
        worker_orders& orders;
        worker_advisor& advisor;
        progress_writer& progress_log;
        /// Returns when the newest leadership renewal that the log has confirmed was requested. No
        /// other host had claimed leadership by then.
        std::function<instant()> confirmed_at;
        /// Returns whether the known notices of workers and operators are recent enough that a
        /// start ordered now cannot violate one.
        std::function<bool()> has_current_notices;
        /// Returns whether the known capacities of workers are recent enough that a start ordered
        /// now cannot exceed one that has shrunk since.
        std::function<bool()> has_current_capacities;
        /// Called when a worker reports a higher epoch than this coordinator's.
        std::function<void()> on_superseded;
        /// Removes a job that ended long ago from the intake stream; calls `done` once the log has
        /// the removal.
        std::function<void(const job_id&, std::function<void()> done)> remove_intake_record;
    };

    /// What a new coordinator knows of the leadership terms before its own.
    struct predecessor {
        /// The previous coordinator ended its leadership term voluntarily.
        bool resigned = false;
        /// No predecessor sent an order after this time.
        instant acted_until{};
        /// No predecessor requested a lease that ends later than one full lease after this time.
        instant renewed_until{};
    };

    /// `epoch` is the epoch of the new coordinator's leadership term.
    static std::unique_ptr<coordinator> create(dependencies deps, const cell_settings& settings,
                                               lease_epoch epoch, const predecessor& before,
                                               const cell_state& known);
    virtual ~coordinator() = default;

    /// Applies the configuration, at the start of the term and after each change.
    virtual void apply_config(const cell_config& config) = 0;
    /// Sets the data centres in which no run may be started.
    virtual void update_evacuated(absl::flat_hash_set<data_centre_id> data_centres) = 0;
    /// Applies the platform's complete list of workers.
    virtual void update_workers(const std::vector<worker_listing>& listing) = 0;
    /// Applies a job that was accepted or cancelled.
    virtual void apply_intake(const job_entry& job) = 0;
    /// Performs all work that is due. To be called every few milliseconds.
    virtual void tick() = 0;

    /// Returns which workers and tasks the orders of this term may still affect if the term ends
    /// now.
    virtual outstanding_orders outstanding() const = 0;
    /// The part of `outstanding` that a successor can't learn from reports, because the workers do
    /// not answer.
    virtual outstanding_orders outstanding_unreachable() const = 0;
    /// Applies what the predecessor reported when it stepped down.
    virtual void apply_outstanding(const outstanding_orders& orders) = 0;

    virtual coordinator_counts counts() const = 0;
    virtual coordinator_view view() const = 0;
};

} // namespace figwinch
