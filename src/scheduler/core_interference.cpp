// How `scheduler_core` keeps batch work from slowing latency-critical work on the same host.

#include "scheduler/scheduler_core.h"

namespace figwinch {
namespace {

/// How much a full expected disturbance counts against a worker, in fractions of a worker.
constexpr double penalty_weight = 2;

} // namespace

void scheduler_core::on_latency(const pb::LatencyReport& report, instant now) {
    const auto config = config_.current();
    if (!config || !policies_.interference)
        return;
    for (const pb::LatencyReport::Executor& seen : report.executors()) {
        const executor_spec* executor = figwinch::find(*config, executor_id(seen.name()));
        if (!executor || executor->host.empty())
            continue;
        const service_id service =
            executor->services.empty() ? service_id() : executor->services.front();
        policies_.interference->observe_latency(executor->host, service, duration(seen.p99_us()),
                                                duration(seen.target_us()), seen.samples(), now);
        watched_hosts_.try_emplace(executor->host);
    }
}

void scheduler_core::run_interference(instant now) {
    if (!policies_.interference || watched_hosts_.empty() || now < next_interference_)
        return;
    next_interference_ = now + with_.interference_every;
    std::map<std::string, std::vector<batch_neighbour>> neighbours;
    std::map<task_id, worker_id> places;
    for (const auto& [name, worker] : leases_.workers()) {
        if (!watched_hosts_.contains(worker.spec.host) || !leases_.is_held(name, now))
            continue;
        std::vector<batch_neighbour>& on_host = neighbours[worker.spec.host];
        for (const auto& [task, one] : worker.tasks) {
            if (one.latency_critical || one.phase != held_phase::running)
                continue;
            const std::optional<task_name> parsed = parse_task_id(task.str());
            const job_record* job = parsed ? fold_.find(parsed->job) : nullptr;
            on_host.push_back({task, one.copied_from, one.used, one.throttle_percent,
                               job && job->spec.checkpointable()});
            places[task] = name;
        }
    }
    for (const auto& [host, tasks] : neighbours) {
        for (const interference_action& action : policies_.interference->decide(host, tasks, now))
            apply(action, places.at(action.task), host, now);
    }
}

// An evicted task goes back to the queue with its checkpoint. Its host takes no batch work for a
// while: it would be the best fit again at once, and the eviction would only have cost work.
void scheduler_core::apply(const interference_action& action, const worker_id& worker,
                           const std::string& host, instant now) {
    if (action.step == interference_step::throttle) {
        leases_.throttle(worker, action.task, action.percent, now);
        return;
    }
    leases_.stop(worker, action.task, true, now);
    watched_hosts_[host] = now + with_.closed_after_eviction;
}

std::optional<double> scheduler_core::neighbour_cost(const std::string& host,
                                                     const template_id& copied_from,
                                                     instant now) const {
    const auto watched = watched_hosts_.find(host);
    if (watched == watched_hosts_.end() || !policies_.interference)
        return 0;
    if (now < watched->second)
        return std::nullopt;
    return penalty_weight * policies_.interference->penalty(host, copied_from, now);
}

} // namespace figwinch
