// Which queued tasks `scheduler_core` starts, and where.

#include "scheduler/scheduler_core.h"

#include "scheduler/spec_values.h"

#include <algorithm>

namespace figwinch {
namespace {

/// How much a second task of one job on a worker, or on a rack, counts against it.
constexpr double same_worker_cost = 0.05;
/// How much each failure of the task on a worker counts against it: more than all other costs.
constexpr double failed_there_cost = 10;

std::int64_t in_ms(duration span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace

void scheduler_core::enqueue(const job_key& key) {
    const job_entry* job = book_.find(key);
    if (!job || job->queued.empty() || job->has_ended() || job->moving || queue_.contains(key))
        return;
    const work_class rank = parse_work_class(job->spec.job_class()).value_or(work_class::normal);
    queue_.add(key, customer_id(job->spec.customer()), rank, ++queue_age_);
}

void scheduler_core::update_usage(const customer_id& customer) {
    const auto config = config_.current();
    const customer_spec* spec = config ? figwinch::find(*config, customer) : nullptr;
    const double share = spec ? spec->share : 1;
    queue_.set_usage(customer,
                     static_cast<double>(book_.active_resources_of(customer).cpu_millis) / share);
}

bool scheduler_core::over_quota(const customer_id& customer, const resources& size) const {
    const auto config = config_.current();
    const customer_spec* spec = config ? figwinch::find(*config, customer) : nullptr;
    if (!spec || !spec->quota)
        return false;
    return !fits(book_.active_resources_of(customer) + size, *spec->quota);
}

void scheduler_core::place(instant now) {
    std::vector<resources> too_large;
    std::vector<job_key> emptied;
    std::set<customer_id> touched;
    queue_.visit(with_.max_visits, [&](const job_key& key) {
        const job_queue::visit_result found = place_job(key, too_large, now);
        const job_entry* job = book_.find(key);
        if (!job || job->queued.empty())
            emptied.push_back(key);
        if (job)
            touched.insert(customer_id(job->spec.customer()));
        return found;
    });
    for (const job_key& key : emptied)
        queue_.remove(key);
    for (const customer_id& customer : touched)
        update_usage(customer);
}

job_queue::visit_result scheduler_core::place_job(const job_key& key,
                                                  std::vector<resources>& too_large, instant now) {
    job_entry* job = book_.find(key);
    if (!job || job->moving || job->has_ended())
        return job_queue::visit_result::next_job;
    const customer_id customer(job->spec.customer());
    const resources declared = size_of(job->spec);
    const template_id copied_from(job->spec.template_name());
    const resources size =
        policies_.sizes ? policies_.sizes->commit_size(customer, copied_from, declared) : declared;
    while (!job->queued.empty()) {
        if (over_quota(customer, size))
            return job_queue::visit_result::next_customer;
        const bool known_too_large = std::ranges::any_of(
            too_large, [&size](const resources& failed) { return fits(failed, size); });
        if (known_too_large)
            return job_queue::visit_result::next_job;
        if (!pacer_.take(now))
            return job_queue::visit_result::stop;
        const placing outcome = place_task(*job, *job->queued.begin(), size, now);
        if (outcome == placing::no_room)
            too_large.push_back(size);
        if (outcome != placing::placed)
            return job_queue::visit_result::next_job;
    }
    return job_queue::visit_result::next_job;
}

scheduler_core::placing scheduler_core::place_task(job_entry& job, int index, const resources& size,
                                                   instant now) {
    const task_id task = make_task_id(job.key, index);
    // A task that may run on no worker with room must not keep others of its size waiting.
    placing failing = placing::no_room;
    const auto cost = [&](const placement_worker& room) -> std::optional<double> {
        if (!leases_.may_start(room.worker, now))
            return std::nullopt;
        if (policies_.failures && !policies_.failures->can_admit(room.worker, now))
            return std::nullopt;
        const int failures =
            policies_.failures ? policies_.failures->failures_on(task, room.worker) : 0;
        const bool barred = leases_.find(room.worker)->tasks.contains(task) ||
                            (failures > 0 && must_go_elsewhere(task, room.worker, size, now));
        const std::optional<double> neighbours =
            neighbour_cost(room.host, template_id(job.spec.template_name()), now);
        if (barred || !neighbours) {
            failing = placing::unsuitable;
            return std::nullopt;
        }
        const auto siblings = book_.active_tasks_by_worker().find(room.worker);
        const std::size_t busy =
            siblings == book_.active_tasks_by_worker().end() ? 0 : siblings->second.size();
        return *neighbours + failed_there_cost * failures + (busy > 0 ? same_worker_cost : 0);
    };
    const std::optional<worker_id> worker = index_.best_fit(size, cost);
    if (!worker || (policies_.failures && !policies_.failures->admit(*worker, now)))
        return failing;
    start_on(*worker, job, index, size, now);
    return placing::placed;
}

// A bad worker is always free; it must not use up the attempts of a task while sound ones are full.
// What has failed on a worker must not take that worker's trial from others either.
bool scheduler_core::must_go_elsewhere(const task_id& task, const worker_id& worker,
                                       const resources& size, instant now) const {
    return policies_.failures->is_quarantined(worker, now) || has_fresh_worker(task, size, now);
}

bool scheduler_core::has_fresh_worker(const task_id& task, const resources& size,
                                      instant now) const {
    return std::ranges::any_of(leases_.workers(), [&](const auto& entry) {
        const auto& [name, worker] = entry;
        return worker.preferred && !worker.removed && worker.state != hold_state::silent &&
               fits(size, worker.spec.capacity) && policies_.failures->can_admit(name, now) &&
               !policies_.failures->failed_on(task, name);
    });
}

void scheduler_core::start_on(const worker_id& worker, job_entry& job, int index,
                              const resources& size, instant now) {
    const std::string checkpoint = job.tasks[static_cast<std::size_t>(index)].checkpoint;
    const attempt_number attempt =
        book_.begin(job, index, {worker, leases_.find(worker)->epoch, size, now});
    pb::StartTask start;
    start.mutable_key()->set_task(make_task_id(job.key, index).str());
    start.mutable_key()->set_attempt(attempt.value());
    start.set_job_owner(self_.str());
    start.mutable_size()->set_cpu_millis(size.cpu_millis);
    start.mutable_size()->set_memory_mib(size.memory_mib);
    start.mutable_size()->set_accelerators(size.accelerators);
    start.set_checkpoint(checkpoint);
    start.set_customer(job.spec.customer());
    start.set_template_name(job.spec.template_name());
    start.set_latency_critical(job.spec.job_class() == "service");
    start.set_work_ms(job.spec.work_ms());
    start.set_lease_ms(in_ms(with_.leases.task_lease));
    leases_.start(worker, start, now);
}

} // namespace figwinch
