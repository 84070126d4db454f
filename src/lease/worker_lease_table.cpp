#include "figwinch/lease/worker_lease_table.h"

#include <algorithm>
#include <cassert>

namespace figwinch {
namespace {

resources from_pb(const pb::Resources& size) {
    return {size.cpu_millis(), size.memory_mib(), size.accelerators()};
}

} // namespace

worker_lease_table::worker_lease_table(const lease_settings& with, node_id node,
                                       incarnation_id self, worker_lease_listener& listener)
    : with_(with), node_(std::move(node)), self_(std::move(self)), listener_(listener) {}

void worker_lease_table::set_workers(const std::vector<worker_spec>& workers, instant now) {
    std::set<worker_id> named;
    for (const worker_spec& spec : workers) {
        named.insert(spec.name);
        leased_worker& worker = workers_[spec.name];
        if (worker.spec.address != spec.address)
            worker.next_lease = now;
        worker.spec = spec;
        worker.removed = false;
    }
    for (auto& [name, worker] : workers_)
        worker.removed = !named.contains(name);
    set_schedulers(std::vector<node_id>(schedulers_), now);
}

void worker_lease_table::set_schedulers(const std::vector<node_id>& live, instant now) {
    schedulers_ = live;
    for (auto& entry : workers_) {
        const worker_id& name = entry.first;
        leased_worker& worker = entry.second;
        const auto best = std::ranges::max_element(schedulers_, {}, [&name](const node_id& node) {
            return rendezvous_weight(node.str(), name.str());
        });
        const bool preferred = !worker.removed && best != schedulers_.end() && *best == node_;
        if (worker.preferred && !preferred)
            worker.unpreferred_since = now;
        if (!worker.preferred && preferred)
            worker.next_lease = now;
        worker.preferred = preferred;
    }
}

void worker_lease_table::release_all(instant now) {
    releasing_all_ = true;
    for (auto& [name, worker] : workers_)
        worker.next_lease = now;
}

void worker_lease_table::renew_all(instant now) {
    for (auto& [name, worker] : workers_) {
        if (worker.state == hold_state::held)
            worker.next_lease = now;
    }
}

const std::vector<pb::EndedTask>& worker_lease_table::ends_on(const worker_id& worker) const {
    static const std::vector<pb::EndedTask> none;
    const auto place = ends_.find(worker);
    return place == ends_.end() ? none : place->second;
}

bool worker_lease_table::is_held(const worker_id& name, instant now) const {
    const leased_worker* worker = find(name);
    // The answer to a release may be lost: from the moment it is sent, another may hold the worker.
    return worker && worker->state == hold_state::held && !worker->releasing &&
           now < worker->valid_until;
}

bool worker_lease_table::may_start(const worker_id& name, instant now) const {
    const leased_worker* worker = find(name);
    if (!worker || worker->state != hold_state::held || worker->releasing || releasing_all_)
        return false;
    return worker->preferred && now + with_.safety_margin < worker->valid_until;
}

bool worker_lease_table::is_quiet(const worker_id& name, instant now) const {
    const leased_worker* worker = find(name);
    return worker && worker->state == hold_state::silent &&
           now >= worker->last_sent + with_.lapse();
}

bool worker_lease_table::untouched_for_lapse(const worker_id& name, instant now) const {
    const leased_worker* worker = find(name);
    return !worker || !worker->ever_sent || now >= worker->last_sent + with_.lapse();
}

void worker_lease_table::start(const worker_id& name, const pb::StartTask& what, instant now) {
    leased_worker& worker = workers_.at(name);
    held_task one;
    one.attempt = attempt_number(what.key().attempt());
    one.size = from_pb(what.size());
    one.job_owner = incarnation_id(what.job_owner());
    one.customer = customer_id(what.customer());
    one.copied_from = template_id(what.template_name());
    one.latency_critical = what.latency_critical();
    one.phase = held_phase::starting;
    one.start = what;
    one.started_under = worker.epoch;
    one.next_send = now;
    const task_id task(what.key().task());
    assert(!worker.tasks.contains(task));
    worker.committed += one.size;
    worker.tasks.emplace(task, std::move(one));
    worker.pending.insert(task);
    listener_.on_room(worker);
}

void worker_lease_table::stop(const worker_id& name, const task_id& task, bool checkpoint,
                              instant now) {
    const auto place = workers_.find(name);
    if (place == workers_.end())
        return;
    const auto held = place->second.tasks.find(task);
    if (held == place->second.tasks.end() || held->second.phase == held_phase::stopping)
        return;
    held->second.phase = held_phase::stopping;
    held->second.stop_with_checkpoint = checkpoint;
    held->second.next_send = now;
    place->second.pending.insert(task);
}

void worker_lease_table::throttle(const worker_id& name, const task_id& task, int percent,
                                  instant now) {
    const auto place = workers_.find(name);
    if (place == workers_.end())
        return;
    const auto held = place->second.tasks.find(task);
    if (held == place->second.tasks.end() || held->second.phase != held_phase::running)
        return;
    held->second.wanted_percent = percent;
    held->second.next_send = now;
    place->second.pending.insert(task);
}

const leased_worker* worker_lease_table::find(const worker_id& worker) const {
    const auto place = workers_.find(worker);
    return place == workers_.end() ? nullptr : &place->second;
}

std::size_t worker_lease_table::held() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        workers_, [](const auto& one) { return one.second.state == hold_state::held; }));
}

void worker_lease_table::lose(leased_worker& worker, instant now) {
    worker.state = hold_state::not_held;
    worker.releasing = false;
    worker.next_lease = now;
    listener_.on_lost(worker);
}

void worker_lease_table::drop(leased_worker& worker, const task_id& task) {
    const auto held = worker.tasks.find(task);
    worker.committed -= held->second.size;
    worker.tasks.erase(held);
    worker.pending.erase(task);
    listener_.on_room(worker);
}

void worker_lease_table::forget_lapsed(leased_worker& worker) {
    while (!worker.tasks.empty()) {
        const task_id task = worker.tasks.begin()->first;
        const attempt_number attempt = worker.tasks.begin()->second.attempt;
        drop(worker, task);
        listener_.on_gone(worker, task, attempt);
    }
}

} // namespace figwinch
