#include "cell/cell_coordinator.h"
#include "figwinch/observe.h"

#include <algorithm>
#include <limits>

namespace figwinch {
namespace {

/// Logs what tells whether orders for the earlier incarnation have reached the new one: this
/// coordinator has not ordered any run there yet.
void log_new_incarnation(const worker_state& worker, const worker_report& report) {
    log_event(log_level::info, "worker_reborn",
              {{"worker", worker.listing.id.str()},
               {"born_ms", static_cast<std::int64_t>(report.incarnation)},
               {"former_born_ms", static_cast<std::int64_t>(worker.born_ms)},
               {"clock_ms", report.clock_ms},
               {"runs_shown", static_cast<std::int64_t>(report.running.size())},
               {"ends_shown", static_cast<std::int64_t>(report.ended.size())}});
}

} // namespace

/// Returns whether a worker's incarnation differs from the one that predecessors granted a lease
/// to. A start order for the earlier incarnation may have reached this one, which then granted a
/// full lease: the order's expiry is a time on the clock of the other. Predecessors sent no orders
/// to workers that the log does not name.
bool cell_coordinator::is_other_incarnation(const worker_id& id, std::uint64_t born_ms) const {
    const auto held = leased_incarnations_.find(id);
    return born_ms != 0 && held != leased_incarnations_.end() && held->second != born_ms;
}

/// Returns whether a worker's first report to this coordinator shows runs although no predecessor
/// recorded that it may have any: its record was lost.
bool cell_coordinator::has_unrecorded_runs(const worker_state& worker,
                                           const worker_report& report) const {
    return worker.born_ms == 0 && !report.running.empty() &&
           !leased_incarnations_.contains(worker.listing.id);
}

/// Waits for a worker that the log does not name, as for one that may hold the longest lease: a
/// worker that never had runs reports at once, while of any other the record was lost. Every worker
/// without runs that had some has a record that says so.
void cell_coordinator::doubt_unrecorded(const worker_id& id) {
    if (recorded_.contains(id) || deps_.time.now() >= longest_leases_expired_at_)
        return;
    unresolved_[id] = longest_leases_expired_at_;
    marked_unresolved_.reset();
    // The worker may be listed no more when a successor begins.
    record_worker(id, {});
}

/// Returns how long the lease may still last of a worker incarnation that reports for the first
/// time in this term. This coordinator has granted it none; if it has runs all the same, orders for
/// an earlier incarnation have reached it, whose times it can't tell from longer ones.
duration cell_coordinator::max_lease_at_first_report(const worker_state& worker,
                                                     const worker_report& report) const {
    const duration left = std::clamp(longest_leases_expired_at_ - deps_.time.now(),
                                     settings_.lease(), settings_.max_granted_lease);
    if (has_unrecorded_runs(worker, report))
        return left;
    const bool is_successor = worker.born_ms != 0 && worker.born_ms != report.incarnation;
    if (is_successor && (!report.running.empty() || !report.ended.empty()))
        return settings_.max_granted_lease;
    if (!is_other_incarnation(worker.listing.id, report.incarnation))
        return settings_.lease();
    return left;
}

/// The worker takes no starts until its report tells the new incarnation.
void cell_coordinator::handle_restart(worker_state& worker) {
    worker.has_restarted = true;
    update_index(worker);
    if (!worker.renewal_in_flight)
        schedule_renewal(worker, deps_.time.now());
}

void cell_coordinator::handle_new_incarnation(worker_state& worker, const worker_report& report) {
    if (worker.born_ms != 0) {
        log_new_incarnation(worker, report);
        if (worker.lost_at == instant())
            mark_lost(worker);
        collect_lost_runs(worker);
        weaken_late_losses(worker, deps_.time.now() - std::chrono::milliseconds(report.clock_ms));
        record_crash(worker, true);
        worker.lost_runs.clear();
        worker.lost_runs_collected = false;
    }
    worker.born_ms = report.incarnation;
    worker.clock = {};
    // Orders sent to the worker's earlier incarnation may reach the new one.
    worker.reported_this_term = false;
    // It has seen no epoch: only the log shows that there is no successor, which may have had a
    // report of the earlier incarnation.
    worker.registered = false;
    update_index(worker);
    stop_reading_ends(worker);
    mark_ends_read(worker.listing.id);
    worker.ends_processed = 0;
    worker.ends_recorded = 0;
    worker.consecutive_failures = 0;
    // Times on the earlier incarnation's clock do not apply to the new one: an unanswered start
    // order may take effect until a stop is acknowledged, and its run has a full lease from then
    // on.
    const duration longest = start_validity + settings_.max_granted_lease;
    for (task_state* const task : worker.tasks) {
        task_run& run = task->run;
        run.start_expires_ms = std::numeric_limits<std::int64_t>::max();
        if (run.may_run_until_ms != 0)
            run.may_run_until_ms = report.clock_ms + longest.count() / 1000;
    }
}

} // namespace figwinch
