#include "cell/cell_coordinator.h"
#include "figwinch/cell/record_codec.h"
#include "figwinch/observe.h"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <limits>

namespace figwinch {
namespace {

// How long a worker may wait for the end of a run before it answers a lease renewal. If
// latency-critical and best-effort tasks share the worker, the answer is also the only source of
// tail latencies, which the worker keeps for half a second.
constexpr duration quiet_wait = std::chrono::milliseconds(1000);
constexpr duration shared_wait = std::chrono::milliseconds(400);
// One answer may be lost; two lease renewals in a row without one mark the worker as unresponsive.
constexpr int unanswered_to_tell = 2;
constexpr duration hold_retry = std::chrono::milliseconds(150);
// While ended runs wait to be recorded in the log, a worker would answer at once with the same
// ones: it is asked only often enough to renew its lease.
constexpr duration unnoted_pause = std::chrono::milliseconds(500);

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

} // namespace

worker_work* cell_coordinator::find_worker(const worker_id& id) {
    const auto known = workers_.find(id);
    return known == workers_.end() ? nullptr : known->second.get();
}

void cell_coordinator::take_listing(const std::vector<worker_listing>& listing) {
    for (const auto& [id, worker] : workers_)
        worker->listed = false;
    for (const worker_listing& row : listing) {
        std::unique_ptr<worker_work>& worker = workers_[row.id];
        if (!worker) {
            worker = std::make_unique<worker_work>();
            worker->reported_at = with_.time.now();
            add_slot(*worker);
            hold_at(*worker, with_.time.now());
            log_worker(row);
        }
        worker->listed = true;
        worker->listing = row;
        tag_labels(*worker);
        const bool other_life = row.born_ms != 0 && worker->born_ms != 0;
        if (other_life && row.born_ms != worker->born_ms)
            worker->unanswered = std::max(worker->unanswered, 1);
        const auto unresolved = unresolved_.find(row.id);
        if (unresolved != unresolved_.end() && is_other_life(row.id, row.born_ms))
            unresolved->second = std::max(unresolved->second, whole_leases_over_);
    }
    for (const auto& [id, worker] : workers_)
        offer(*worker);
    placement_due_ = true;
}

void cell_coordinator::hold_due() {
    const instant now = with_.time.now();
    while (!due_holds_.empty() && due_holds_.top().at <= now) {
        const due_hold due = due_holds_.top();
        due_holds_.pop();
        worker_work* const worker = slots_[due.worker];
        if (worker != nullptr && worker->next_hold == due.at && !worker->hold_in_flight)
            hold(*worker);
    }
}

void cell_coordinator::hold_at(worker_work& worker, instant when) {
    worker.next_hold = when;
    due_holds_.push({when, worker.slot});
}

void cell_coordinator::hold(worker_work& worker) {
    const instant now = with_.time.now();
    hold_order order;
    order.epoch = epoch_;
    order.seen = worker.seen;
    order.born_ms = worker.born_ms;
    order.names = worker.wants_names;
    // After an unanswered lease renewal another incarnation of the worker may answer, whose ended
    // runs are numbered from 1 again. It must not discard ends because those of the earlier
    // incarnation were recorded.
    order.noted = worker.unanswered == 0 ? worker.noted : 0;
    // Renewing the lease of an unresponsive worker would delay the restart of its tasks: the order
    // may still arrive, and the runs would continue unobserved.
    const auto clock_ms = worker.clock.at_least(now);
    if (clock_ms && !worker.silent && worker.unanswered == 0) {
        order.until_ms = *clock_ms + lease_to_ask(now).count() / 1000;
        worker.latest_until_ms = std::max(worker.latest_until_ms, *order.until_ms);
        const bool shared = worker.filling_cpu > 0 && worker.lasting_cpu > 0;
        order.wait = worker.noted < worker.seen ? duration::zero()
                     : shared                   ? shared_wait
                                                : quiet_wait;
    }
    worker.hold_in_flight = true;
    ++counts_.holds;
    with_.orders.hold(worker.listing, order,
                      [this, weak = std::weak_ptr(alive_), id = worker.listing.id,
                       asked = now](order_outcome outcome, const worker_report& report) {
                          if (!weak.expired() && !deposed_)
                              take_report(id, asked, outcome, report);
                      });
}

/// Returns the lease to request. It shrinks while the log does not confirm this term: a successor
/// relies on no lease ending later than one that was requested `prolonging_limit` after the last
/// confirmation.
duration cell_coordinator::lease_to_ask(instant now) const {
    const duration beyond = now - (with_.confirmed_at() + prolonging_limit);
    return settings_.lease() - std::max(duration::zero(), beyond);
}

void cell_coordinator::take_report(const worker_id& id, instant asked, order_outcome outcome,
                                   const worker_report& report) {
    worker_work* const worker = find_worker(id);
    if (worker == nullptr)
        return;
    const instant now = with_.time.now();
    worker->hold_in_flight = false;
    if (outcome == order_outcome::superseded)
        return be_deposed();
    if (outcome != order_outcome::done) {
        hold_at(*worker, now + hold_retry);
        return take_silence(*worker);
    }
    worker->reported_at = now;
    worker->unanswered = 0;
    if (worker->silent)
        end_silence(*worker);
    if (worker->born_ms != report.born_ms)
        start_new_life(*worker, report);
    worker->clock.observe(report.clock_ms, now);
    // A predecessor may have renewed the lease until now, but not later: the worker now rejects its
    // orders.
    if (!std::exchange(worker->heard, true))
        worker->latest_until_ms =
            report.clock_ms + longest_held_before(id, report.born_ms).count() / 1000;
    resolve(id);
    take_ends(*worker, report.ended);
    take_running(*worker, report, asked);
    share_processors(*worker);
    if (!worker->registered && !worker->registering)
        register_life(*worker);
    hold_at(*worker, worker->noted < worker->seen ? now + unnoted_pause : now);
    offer(*worker);
}

/// Returns whether a worker's incarnation differs from the one that predecessors granted a lease
/// to. A start order for the earlier incarnation may have reached this one, which then granted a
/// full lease: the order's expiry is a time on the clock of the other. Predecessors sent no orders
/// to workers that the log does not name.
bool cell_coordinator::is_other_life(const worker_id& id, std::uint64_t born_ms) const {
    const auto held = held_lives_.find(id);
    return born_ms != 0 && held != held_lives_.end() && held->second != born_ms;
}

/// Returns how long leases and starts of predecessors may still last on a worker that reports for
/// the first time.
duration cell_coordinator::longest_held_before(const worker_id& id, std::uint64_t born_ms) const {
    if (!is_other_life(id, born_ms))
        return settings_.lease();
    const duration left = whole_leases_over_ - with_.time.now();
    return std::clamp(left, settings_.lease(), settings_.max_hold);
}

void cell_coordinator::start_new_life(worker_work& worker, const worker_report& report) {
    if (worker.born_ms != 0)
        log_event(log_level::info, "worker_reborn", {{"worker", worker.listing.id.str()}});
    worker.born_ms = report.born_ms;
    worker.clock = {};
    // Orders sent to the worker's earlier incarnation may reach the new one.
    worker.heard = false;
    offer(worker);
    worker.seen = 0;
    worker.noted = 0;
    worker.failures_in_row = 0;
    // Times on the earlier incarnation's clock do not apply to the new one: an unanswered start
    // order may take effect until a stop is acknowledged, and its run has a full lease from then
    // on.
    const duration longest = start_validity + settings_.max_hold;
    for (task_work* const task : worker.tasks) {
        task_run& run = task->run;
        run.start_until_ms = std::numeric_limits<std::int64_t>::max();
        if (run.may_live_until_ms != 0)
            run.may_live_until_ms = report.clock_ms + longest.count() / 1000;
    }
}

void cell_coordinator::take_silence(worker_work& worker) {
    ++worker.unanswered;
    if (worker.unanswered < unanswered_to_tell || worker.silent || !worker.registered)
        return;
    worker.silent = true;
    offer(worker);
    log_event(log_level::warn, "worker_silent", {{"worker", worker.listing.id.str()}});
    with_.journal.write({record_key(record_kind::worker, worker.listing.id.str()),
                         encode_worker({worker.born_ms, true}), 0});
}

/// The worker answers again. A successor that still reads that it is unresponsive would wait too
/// short a time, so the lease is renewed only once the log says otherwise.
void cell_coordinator::end_silence(worker_work& worker) {
    if (worker.registering)
        return;
    register_life(worker);
}

void cell_coordinator::register_life(worker_work& worker) {
    worker.registering = true;
    const worker_id id = worker.listing.id;
    with_.journal.write(
        {record_key(record_kind::worker, id.str()), encode_worker({worker.born_ms, false}), 0},
        [this, weak = std::weak_ptr(alive_), id] {
            if (weak.expired())
                return;
            if (worker_work* const known = find_worker(id)) {
                known->registering = false;
                known->registered = true;
                known->silent = false;
                offer(*known);
                placement_due_ = true;
            }
        });
}

} // namespace figwinch
