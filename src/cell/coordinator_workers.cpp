#include "cell/cell_coordinator.h"
#include "figwinch/cell/record_codec.h"
#include "figwinch/observe.h"

#include <absl/strings/str_join.h>

#include <algorithm>
#include <limits>

namespace figwinch {
namespace {

// How long a worker may wait for an end before it answers. With serving and filling tasks side by
// side the answer is also the only sight of the serving tasks' tails, which are kept for half a
// second.
constexpr duration quiet_wait = std::chrono::milliseconds(1000);
constexpr duration shared_wait = std::chrono::milliseconds(400);
// One answer may get lost on its way; two in a row tell.
constexpr int unanswered_to_tell = 2;
constexpr duration hold_retry = std::chrono::milliseconds(150);
// While ends wait for the log, a worker would answer at once with the same ends: ask again only to
// keep its lease.
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
        const bool other_life = row.incarnation != 0 && worker->born_ms != 0;
        if (other_life && row.incarnation != worker->born_ms)
            worker->unanswered = std::max(worker->unanswered, 1);
        const auto unresolved = unresolved_.find(row.id);
        if (unresolved != unresolved_.end() && is_other_life(row.id, row.incarnation))
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
    renewal_order order;
    order.epoch = epoch_;
    order.received = worker.seen;
    order.incarnation = worker.born_ms;
    order.require_names = worker.wants_names;
    // After a silence another life may answer, whose own ends count from 1 again: it must not
    // forget ends that only the earlier life's were noted up to.
    order.acknowledged = worker.unanswered == 0 ? worker.noted : 0;
    // Prolonging the lease of a worker that doesn't answer would keep the tasks on it out of reach:
    // the order may still arrive, and then they live on unseen.
    const auto clock_ms = worker.clock.lower_bound(now);
    if (clock_ms && !worker.silent && worker.unanswered == 0) {
        order.lease_until_ms = *clock_ms + lease_to_ask(now).count() / 1000;
        worker.latest_until_ms = std::max(worker.latest_until_ms, *order.lease_until_ms);
        const bool shared = worker.filling_cpu > 0 && worker.lasting_cpu > 0;
        order.max_wait = worker.noted < worker.seen ? duration::zero()
                         : shared                   ? shared_wait
                                                    : quiet_wait;
    }
    worker.hold_in_flight = true;
    ++counts_.holds;
    with_.orders.renew_lease(worker.listing, order,
                             [this, weak = std::weak_ptr(alive_), id = worker.listing.id,
                              asked = now](order_outcome outcome, const worker_report& report) {
                                 if (!weak.expired() && !deposed_)
                                     take_report(id, asked, outcome, report);
                             });
}

/// Shorter the longer the log hasn't confirmed this reign: a successor takes it that no lease ends
/// later than one that was asked for `prolonging_limit` after the last confirmation.
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
    if (worker->born_ms != report.incarnation)
        start_new_life(*worker, report);
    worker->clock.observe(report.clock_ms, now);
    // A predecessor may have held it until this moment, but not after: its orders are refused now.
    if (!std::exchange(worker->heard, true))
        worker->latest_until_ms =
            report.clock_ms + longest_held_before(id, report.incarnation).count() / 1000;
    resolve(id);
    take_ends(*worker, report.ended);
    take_running(*worker, report, asked);
    share_processors(*worker);
    if (!worker->registered && !worker->registering)
        register_life(*worker);
    hold_at(*worker, worker->noted < worker->seen ? now + unnoted_pause : now);
    offer(*worker);
}

/// Whether a worker's life isn't the one that predecessors held. An order to start that was for the
/// life before may have reached this one, which then granted a whole lease: the order's end is a
/// time on the other life's clock. Predecessors ordered nothing to workers that the log doesn't
/// name.
bool cell_coordinator::is_other_life(const worker_id& id, std::uint64_t born_ms) const {
    const auto held = held_lives_.find(id);
    return born_ms != 0 && held != held_lives_.end() && held->second != born_ms;
}

/// How much longer a worker that reports first may be held by predecessors, or run what they
/// started there.
duration cell_coordinator::longest_held_before(const worker_id& id, std::uint64_t born_ms) const {
    if (!is_other_life(id, born_ms))
        return settings_.lease();
    const duration left = whole_leases_over_ - with_.time.now();
    return std::clamp(left, settings_.lease(), settings_.max_hold);
}

void cell_coordinator::start_new_life(worker_work& worker, const worker_report& report) {
    if (worker.born_ms != 0)
        log_event(log_level::info, "worker_reborn", {{"worker", worker.listing.id.str()}});
    worker.born_ms = report.incarnation;
    worker.clock = {};
    // Orders that were on their way to the earlier life may reach this one.
    worker.heard = false;
    offer(worker);
    worker.seen = 0;
    worker.noted = 0;
    worker.failures_in_row = 0;
    // Times on the clock of the life before say nothing on the new one: an unanswered start may
    // still be carried out until a stop is acknowledged, and lives for a whole lease from then on.
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

/// It answers again. A successor that still reads of its silence would wait too short a time, so
/// its lease is prolonged only once the log says otherwise.
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
