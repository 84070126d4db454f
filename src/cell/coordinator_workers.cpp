#include "cell/cell_coordinator.h"
#include "figwinch/cell/record_codec.h"
#include "figwinch/observe.h"

#include <absl/strings/str_join.h>

#include <algorithm>

namespace figwinch {
namespace {

// How long a worker may wait for the end of a run before it answers a lease renewal. If
// latency-critical and best-effort tasks share the worker, the answer is also the only source of
// tail latencies, which the worker keeps for half a second.
constexpr duration report_wait = std::chrono::milliseconds(1000);
constexpr duration shared_report_wait = std::chrono::milliseconds(400);
// One answer may be lost; two lease renewals in a row without one mark the worker as unresponsive.
constexpr int renewals_until_unresponsive = 2;
constexpr duration renewal_retry = std::chrono::milliseconds(150);
// While ended runs wait to be recorded in the log, a worker would answer at once with the same
// ones: it is asked only often enough to renew its lease.
constexpr duration unrecorded_ends_pause = std::chrono::milliseconds(500);

void log_worker(const worker_listing& row) {
    if (current_log_level() != log_level::debug)
        return;
    log_event(log_level::debug, "worker_found",
              {{"worker", row.id.str()},
               {"data_centre", row.data_centre.str()},
               {"labels", absl::StrJoin(row.labels, ",")},
               {"cpu_millis", row.capacity.cpu_millis},
               {"memory_mib", row.capacity.memory_mib}});
}

/// Logs that the log names the worker, which tells an absent record from one that was removed.
void log_recorded(const worker_state& worker) {
    log_event(log_level::info, "worker_recorded",
              {{"worker", worker.listing.id.str()},
               {"born_ms", static_cast<std::int64_t>(worker.born_ms)},
               {"longer_lease", worker.longer_lease_until_ms.has_value()}});
}

void log_unrecorded_runs(const worker_state& worker, const worker_report& report) {
    log_event(log_level::error, "worker_unrecorded",
              {{"worker", worker.listing.id.str()},
               {"born_ms", static_cast<std::int64_t>(report.incarnation)},
               {"runs_shown", static_cast<std::int64_t>(report.running.size())}});
}

/// Returns the incarnation that the log names: the only one that has a lease, no longer than those
/// that were requested for it; 0 if a longer one is possible.
std::uint64_t recorded_incarnation(const worker_state& worker) {
    return worker.longer_lease_until_ms ? 0 : worker.born_ms;
}

} // namespace

worker_state* cell_coordinator::find_worker(const worker_id& id) {
    const auto known = workers_.find(id);
    return known == workers_.end() ? nullptr : known->second.get();
}

void cell_coordinator::update_workers(const std::vector<worker_listing>& listing) {
    const std::vector<worker_state*> lost = lost_workers();
    for (const auto& [id, worker] : workers_)
        worker->listed = false;
    for (const worker_listing& row : listing) {
        std::unique_ptr<worker_state>& worker = workers_[row.id];
        if (!worker) {
            worker = std::make_unique<worker_state>();
            worker->reported_at = deps_.time.now();
            add_slot(*worker);
            schedule_renewal(*worker, deps_.time.now());
            log_worker(row);
            doubt_unrecorded(row.id);
            handle_new_worker(row, lost);
        }
        worker->listed = true;
        worker->listing = row;
        update_label_tags(*worker);
        const bool both_known = row.incarnation != 0 && worker->born_ms != 0;
        if (both_known && row.incarnation != worker->born_ms)
            worker->unanswered_renewals = std::max(worker->unanswered_renewals, 1);
        const auto unresolved = unresolved_.find(row.id);
        if (unresolved != unresolved_.end() && is_other_incarnation(row.id, row.incarnation))
            unresolved->second = std::max(unresolved->second, longest_leases_expired_at_);
    }
    for (const auto& [id, worker] : workers_)
        update_index(*worker);
    placement_due_ = true;
}

/// Returns the workers that do not answer.
std::vector<worker_state*> cell_coordinator::lost_workers() const {
    std::vector<worker_state*> lost;
    for (const auto& [id, worker] : workers_)
        if (worker->lost_at != instant())
            lost.push_back(worker.get());
    return lost;
}

/// A process that listens at the address of a lost worker proves that the worker's process has
/// ended: it was not merely out of reach.
void cell_coordinator::handle_new_worker(const worker_listing& row,
                                         const std::vector<worker_state*>& lost) {
    if (row.address == endpoint())
        return;
    for (worker_state* const worker : lost) {
        if (worker->listing.address != row.address)
            continue;
        log_event(log_level::info, "worker_replaced",
                  {{"worker", worker->listing.id.str()}, {"by", row.id.str()}});
        collect_lost_runs(*worker);
        weaken_late_losses(*worker, deps_.time.now());
        record_crash(*worker, true);
    }
}

void cell_coordinator::send_due_renewals() {
    const instant now = deps_.time.now();
    while (!due_renewals_.empty() && due_renewals_.top().at <= now) {
        const due_renewal due = due_renewals_.top();
        due_renewals_.pop();
        worker_state* const worker = slots_[due.worker];
        if (worker != nullptr && worker->next_renewal == due.at && !worker->renewal_in_flight)
            renew_lease(*worker);
    }
}

void cell_coordinator::schedule_renewal(worker_state& worker, instant when) {
    worker.next_renewal = when;
    due_renewals_.push({when, worker.slot});
}

void cell_coordinator::renew_lease(worker_state& worker) {
    const instant now = deps_.time.now();
    renewal_order order;
    order.epoch = epoch_;
    order.received = worker.ends_processed;
    order.incarnation = worker.born_ms;
    order.require_names = worker.needs_task_names;
    // After an unanswered lease renewal another incarnation of the worker may answer, whose ended
    // runs are numbered from 1 again. It must not discard ends because those of the earlier
    // incarnation were recorded.
    order.acknowledged = worker.unanswered_renewals == 0 ? worker.ends_recorded : 0;
    // Renewing the lease of an unresponsive worker would delay the restart of its tasks: the order
    // may still arrive, and the runs would continue unobserved.
    const auto clock_ms = worker.clock.lower_bound(now);
    if (clock_ms && !worker.unresponsive && worker.unanswered_renewals == 0) {
        order.lease_until_ms = *clock_ms + lease_to_request(now).count() / 1000;
        worker.latest_lease_expiry_ms =
            std::max(worker.latest_lease_expiry_ms, *order.lease_until_ms);
        const bool shared = worker.best_effort_cpu > 0 && worker.service_cpu > 0;
        const bool has_ends =
            worker.ends_recorded < worker.ends_processed || worker.has_unread_ends;
        order.max_wait = has_ends ? duration::zero() : shared ? shared_report_wait : report_wait;
    }
    worker.renewal_in_flight = true;
    ++counts_.lease_renewals;
    deps_.orders.renew_lease(worker.listing, order,
                             [this, weak = std::weak_ptr(alive_), id = worker.listing.id,
                              asked = now](order_outcome outcome, const worker_report& report) {
                                 if (!weak.expired() && !superseded_)
                                     handle_report(id, asked, outcome, report);
                             });
}

/// Returns the lease to request. It shrinks while the log does not confirm this term: a successor
/// relies on no lease ending later than one that was requested `full_renewal_limit` after the last
/// confirmation.
duration cell_coordinator::lease_to_request(instant now) const {
    const duration beyond = now - (deps_.confirmed_at() + full_renewal_limit);
    return settings_.lease() - std::max(duration::zero(), beyond);
}

void cell_coordinator::handle_report(const worker_id& id, instant asked, order_outcome outcome,
                                     const worker_report& report) {
    worker_state* const worker = find_worker(id);
    if (worker == nullptr)
        return;
    const instant now = deps_.time.now();
    worker->renewal_in_flight = false;
    if (outcome == order_outcome::superseded)
        return handle_superseded();
    if (outcome != order_outcome::done) {
        schedule_renewal(*worker, now + renewal_retry);
        return handle_unanswered_renewal(*worker);
    }
    worker->reported_at = now;
    worker->unanswered_renewals = 0;
    worker->has_restarted = false;
    if (has_unrecorded_runs(*worker, report))
        log_unrecorded_runs(*worker, report);
    const duration longest_lease = max_lease_at_first_report(*worker, report);
    update_longer_lease(*worker, report, longest_lease);
    if (worker->born_ms != report.incarnation)
        handle_new_incarnation(*worker, report);
    else if (worker->lost_at != instant())
        withdraw_lost_runs(*worker);
    if (worker->unresponsive)
        handle_recovery(*worker);
    worker->clock.observe(report.clock_ms, now);
    // A predecessor may have renewed the lease until now, but not later: the worker now rejects its
    // orders.
    if (!std::exchange(worker->reported_this_term, true))
        worker->latest_lease_expiry_ms = report.clock_ms + longest_lease.count() / 1000;
    const std::uint64_t ends_before = worker->ends_processed;
    process_ended_runs(*worker, report);
    mark_resolved(*worker);
    apply_running_runs(*worker, report, asked);
    update_throttles(*worker);
    if (!worker->registered && !worker->registering)
        register_incarnation(*worker);
    const bool unrecorded = worker->ends_recorded < worker->ends_processed;
    const bool waits_for_turn = worker->has_unread_ends && worker->ends_processed == ends_before;
    schedule_renewal(*worker, unrecorded || waits_for_turn ? now + unrecorded_ends_pause : now);
    update_index(*worker);
}

/// Notes at an incarnation's first report until when it may hold a longer lease than any that was
/// requested for it. When that is over, the log names the incarnation, so that a successor doesn't
/// wait for such a lease.
void cell_coordinator::update_longer_lease(worker_state& worker, const worker_report& report,
                                           duration longest) {
    if (!worker.reported_this_term || worker.born_ms != report.incarnation) {
        worker.longer_lease_until_ms.reset();
        if (longest > settings_.lease())
            worker.longer_lease_until_ms = report.clock_ms + longest / std::chrono::milliseconds(1);
        return;
    }
    if (!worker.longer_lease_until_ms || report.clock_ms <= *worker.longer_lease_until_ms)
        return;
    worker.longer_lease_until_ms.reset();
    record_worker(worker.listing.id, {recorded_incarnation(worker), worker.unresponsive});
}

void cell_coordinator::handle_unanswered_renewal(worker_state& worker) {
    ++worker.unanswered_renewals;
    stop_reading_ends(worker);
    if (worker.lost_at == instant() || worker.unanswered_renewals == 1)
        mark_lost(worker);
    if (worker.unanswered_renewals < renewals_until_unresponsive || worker.unresponsive ||
        !worker.registered)
        return;
    worker.unresponsive = true;
    update_index(worker);
    log_event(log_level::warn, "worker_silent", {{"worker", worker.listing.id.str()}});
    // Recorded at once, so that a successor knows of it.
    record_crash(worker, false);
    record_worker(worker.listing.id, {recorded_incarnation(worker), true});
}

/// The worker answers again. A successor that still reads that it is unresponsive would wait too
/// short a time, so the lease is renewed only once the log says otherwise.
void cell_coordinator::handle_recovery(worker_state& worker) {
    if (worker.registering)
        return;
    register_incarnation(worker);
}

void cell_coordinator::register_incarnation(worker_state& worker) {
    worker.registering = true;
    const worker_id id = worker.listing.id;
    record_worker(worker.listing.id, {recorded_incarnation(worker), false},
                  [this, weak = std::weak_ptr(alive_), id, born_ms = worker.born_ms] {
                      worker_state* const known = weak.expired() ? nullptr : find_worker(id);
                      if (known == nullptr)
                          return;
                      if (known->born_ms != born_ms)
                          return register_incarnation(*known);
                      known->registering = false;
                      known->registered = true;
                      known->unresponsive = false;
                      log_recorded(*known);
                      update_index(*known);
                      placement_due_ = true;
                  });
}

void cell_coordinator::record_worker(const worker_id& id, const worker_entry& entry,
                                     std::function<void()> committed) {
    recorded_.insert(id);
    deps_.progress_log.put(record_key(record_kind::worker, id.str()), encode_worker(entry),
                           std::move(committed));
}

/// Records that all leases of the worker have ended, so that no successor waits for it.
void cell_coordinator::record_idle(const worker_id& id, std::uint64_t incarnation) {
    log_event(log_level::info, "worker_idle_recorded", {{"worker", id.str()}});
    worker_entry entry;
    entry.incarnation = incarnation;
    entry.lease_expired = true;
    record_worker(id, entry);
}

/// Removes the record of a worker that is forgotten.
void cell_coordinator::remove_worker_record(const worker_id& id) {
    if (recorded_.erase(id) == 0)
        return;
    log_event(log_level::info, "worker_record_removed", {{"worker", id.str()}});
    deps_.progress_log.remove(record_key(record_kind::worker, id.str()));
}

} // namespace figwinch
