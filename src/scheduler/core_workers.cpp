// What workers tell `scheduler_core`.

#include "scheduler/scheduler_core.h"

#include <algorithm>

namespace figwinch {

void scheduler_core::on_held(const leased_worker& worker) {
    on_room(worker);
}

void scheduler_core::on_lost(const leased_worker& worker) {
    index_.remove(worker.spec.name);
}

void scheduler_core::on_room(const leased_worker& worker) {
    if (worker.state != hold_state::held || !worker.preferred) {
        index_.remove(worker.spec.name);
        return;
    }
    index_.put(
        {worker.spec.name, worker.spec.rack, worker.spec.host, worker.capacity, worker.room()});
}

void scheduler_core::on_listed(const leased_worker& worker, instant sent_at) {
    // A task that was found before its job was taken over is known to the table alone.
    for (const auto& [task, one] : worker.tasks) {
        if (one.phase != held_phase::starting)
            book_.on_attempt_observed(task, one.attempt,
                                      {worker.spec.name, worker.epoch, one.size, now_});
        if (policies_.sizes && one.phase == held_phase::running)
            policies_.sizes->observe(one.customer, one.copied_from, task, one.used);
    }
    for (takeover_fence& fence : fences_) {
        if (sent_at >= fence.applied_at())
            fence.on_lease_held(worker.spec.name);
    }
    police(worker.spec.name);
}

void scheduler_core::on_found(const leased_worker& worker, const task_id& task,
                              const held_task& attempt) {
    book_.on_attempt_observed(task, attempt.attempt,
                              {worker.spec.name, worker.epoch, attempt.size, now_});
}

void scheduler_core::on_ended(const leased_worker& worker, const pb::EndedTask& report) {
    take_report(report, worker.spec.name);
}

void scheduler_core::take_report(const pb::EndedTask& report, const worker_id& worker) {
    const task_id task(report.key().task());
    const task_slot* slot = book_.slot(task);
    if (!slot)
        return;
    const bool newest = slot->phase == task_phase::active &&
                        slot->attempt == attempt_number(report.key().attempt());
    if (newest)
        learn_from(report, worker);
    const std::optional<task_name> name = parse_task_id(task.str());
    const job_entry* job = book_.find(name->job);
    const bool failed = report.end() == pb::TASK_END_FAILED;
    const int limit = job->spec.max_attempts() > 0 ? job->spec.max_attempts() : 3;
    const bool for_good =
        failed && policies_.failures && policies_.failures->counted_failures(task) >= limit;
    std::optional<pb::TaskEnded> ended = book_.on_attempt_ended(report, worker, for_good);
    if (!ended)
        return;
    pb::JobEvent event;
    *event.mutable_ended() = std::move(*ended);
    writer_.add(std::move(event));
    enqueue(name->job);
    update_usage(customer_id(job->spec.customer()));
}

void scheduler_core::learn_from(const pb::EndedTask& report, const worker_id& worker) {
    if (!policies_.failures)
        return;
    const task_id task(report.key().task());
    const std::optional<task_name> name = parse_task_id(task.str());
    if (report.end() == pb::TASK_END_FAILED)
        policies_.failures->record_failure(worker, task, attempt_number(report.key().attempt()),
                                           job_id(name->job.str()), now_);
    else if (report.end() == pb::TASK_END_FINISHED)
        policies_.failures->record_success(worker, task, now_);
}

void scheduler_core::on_gone(const leased_worker& /*worker*/, const task_id& task,
                             attempt_number attempt) {
    if (!book_.on_attempt_lost(task, attempt))
        return;
    const std::optional<task_name> name = parse_task_id(task.str());
    enqueue(name->job);
    update_usage(customer_id(book_.find(name->job)->spec.customer()));
}

// An end stays with the worker until it is in the log: whoever holds the worker next, and whoever
// owns the job next, still learns it and its checkpoint.
bool scheduler_core::may_acknowledge(const pb::EndedTask& report) const {
    const std::optional<task_name> name = parse_task_id(report.key().task());
    if (!name)
        return true;
    if (!recovered_)
        return false;
    const job_record* job = fold_.find(name->job);
    if (!job || job->is_done())
        return true;
    const auto outcome = job->tasks.find(name->index);
    return outcome != job->tasks.end() &&
           outcome->second.attempt >= attempt_number(report.key().attempt());
}

void scheduler_core::police(const worker_id& name) {
    const leased_worker* worker = leases_.find(name);
    if (!recovered_ || !worker || worker->state != hold_state::held)
        return;
    for (const auto& [task, one] : worker->tasks)
        police_task(name, task, one);
}

// The holder of a worker stops what should not run there: work in a data centre that was taken out,
// tasks of cancelled jobs, and attempts that the log or the owner knows to be over.
void scheduler_core::police_task(const worker_id& worker, const task_id& task,
                                 const held_task& one) {
    const std::optional<task_name> name = parse_task_id(task.str());
    const job_record* job = name ? fold_.find(name->job) : nullptr;
    const bool leaving =
        leases_.find(worker)->removed || !centre_in_service(with_.self.data_centre);
    if (leaving && config_.current()) {
        leases_.stop(worker, task, true, now_);
        return;
    }
    if (!job || job->cancelled) {
        if (job || evidence_.judge(now_) == freshness::confirmed)
            leases_.stop(worker, task, false, now_);
        return;
    }
    const auto outcome = job->tasks.find(name->index);
    const bool over = outcome != job->tasks.end() &&
                      (outcome->second.final || one.attempt <= outcome->second.attempt);
    const task_slot* slot = book_.slot(task);
    const bool superseded =
        slot && (slot->attempt > one.attempt || slot->phase == task_phase::done ||
                 slot->phase == task_phase::queued);
    if (over || superseded)
        leases_.stop(worker, task, false, now_);
}

} // namespace figwinch
