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

/// What a coordinator is doing, for metrics and people.
struct coordinator_counts {
    std::size_t open_jobs = 0;
    std::size_t running = 0;
    std::size_t workers = 0;
    std::size_t workers_silent = 0;
    /// Workers that a predecessor may have given tasks and that haven't answered yet.
    std::size_t workers_unresolved = 0;
    std::uint64_t starts = 0;
    std::uint64_t stops = 0;
    std::uint64_t holds = 0;
    std::uint64_t paces = 0;
    std::uint64_t advice_calls = 0;
    /// Runs that were moved because they stood still or lagged.
    std::uint64_t stragglers = 0;
};

/// Decides every start, stop and pace of a cell during one reign. Rules only: it takes an injected
/// clock and speaks to workers and log through ports. Built from what the log says when the reign
/// begins; what runs it learns from the workers themselves, each of which forgets the predecessor's
/// orders with the first one that carries the new epoch. Owned by the host's daemon.
class coordinator {
public:
    /// Everything that a coordinator works with; must outlive it.
    struct parts {
        const clock& time;
        worker_orders& orders;
        worker_advisor& advisor;
        progress_writer& journal;
        /// When the newest renewal was asked for that the log has confirmed: nobody else had
        /// claimed the reign by then.
        std::function<instant()> confirmed_at;
        /// Whether notices of workers and operators are known up to so short a time ago that a
        /// start which is ordered now keeps them.
        std::function<bool()> sees_notices;
        /// Called when a worker shows that a higher epoch exists.
        std::function<void()> deposed;
        /// Drops what the intake stream has of a job that ended long ago; calls back once the log
        /// has it.
        std::function<void(const job_id&, std::function<void()> done)> forget;
    };

    /// What is known of the reigns before.
    struct predecessor {
        /// It ended by its own word.
        bool resigned = false;
        /// Neither it nor any before it ordered anything later than that.
        instant acted_until{};
        /// Nor asked for a lease that ends later than one whole lease after that.
        instant prolonged_until{};
    };

    /// `epoch` is this reign's.
    static std::unique_ptr<coordinator> create(parts with, const cell_settings& settings,
                                               lease_epoch epoch, const predecessor& before,
                                               const cell_state& known);
    virtual ~coordinator() = default;

    /// The configuration in force, at the begin and after each change.
    virtual void take_config(const cell_config& config) = 0;
    /// Data centres that are to get no starts.
    virtual void take_evacuated(absl::flat_hash_set<data_centre_id> data_centres) = 0;
    /// All workers that the platform lists.
    virtual void take_listing(const std::vector<worker_listing>& listing) = 0;
    /// A job that was accepted or cancelled.
    virtual void take_intake(const job_entry& job) = 0;
    /// Does what is due. To be called every few milliseconds.
    virtual void tick() = 0;

    /// What this reign leaves behind if it ends now.
    virtual outstanding_orders outstanding() const = 0;
    /// What the reign before left behind when it ended.
    virtual void take_outstanding(const outstanding_orders& orders) = 0;

    virtual coordinator_counts counts() const = 0;
    virtual coordinator_view view() const = 0;
};

} // namespace figwinch
