#include "figwinch/jobs/job_book.h"

#include <algorithm>
#include <cassert>

namespace figwinch {

job_entry& job_book::add(const job_record& record, bool fenced_off) {
    job_entry& job = entries_[record.key];
    job = job_entry{};
    job.key = record.key;
    job.spec = record.spec;
    job.fenced_off = fenced_off;
    job.cancelled = record.cancelled;
    job.attempt_base = attempt_number(record.owned_since.value()
                                      << static_cast<unsigned>(attempts_per_owner_bits));
    job.tasks.resize(static_cast<std::size_t>(record.spec.tasks()));
    job.blocked = 0;
    for (int i = 0; i < record.spec.tasks(); ++i)
        job.queued.insert(i);
    for (const auto& [index, outcome] : record.tasks) {
        task_slot& slot = job.tasks[static_cast<std::size_t>(index)];
        slot.attempt = outcome.attempt;
        slot.worker = worker_id(outcome.worker);
        slot.checkpoint = outcome.checkpoint;
        slot.checkpoint_attempt = outcome.attempt;
        slot.failed = outcome.final && outcome.end != pb::TASK_END_FINISHED;
        if (outcome.final)
            set_phase(job, index, task_phase::done);
    }
    if (!fenced_off)
        return job;
    for (const int index : std::set<int>(job.queued))
        set_phase(job, index, task_phase::blocked);
    return job;
}

void job_book::remove(const job_key& key) {
    const auto it = entries_.find(key);
    if (it == entries_.end())
        return;
    for (int i = 0; i < static_cast<int>(it->second.tasks.size()); ++i) {
        if (it->second.tasks[static_cast<std::size_t>(i)].phase == task_phase::active)
            deactivate(it->second, i);
    }
    entries_.erase(it);
}

resources job_book::active_resources_of(const customer_id& customer) const {
    const auto it = active_resources_.find(customer);
    return it == active_resources_.end() ? resources{} : it->second;
}

void job_book::activate(job_entry& job, int index, const attempt_placement& placement) {
    task_slot& slot = job.tasks[static_cast<std::size_t>(index)];
    if (slot.phase == task_phase::active)
        deactivate(job, index);
    slot.worker = placement.worker;
    slot.epoch = placement.epoch;
    slot.since = placement.now;
    slot.committed = placement.size;
    active_tasks_by_worker_[placement.worker].insert(make_task_id(job.key, index));
    active_resources_[customer_id(job.spec.customer())] += placement.size;
}

void job_book::deactivate(job_entry& job, int index) {
    const task_slot& slot = job.tasks[static_cast<std::size_t>(index)];
    const auto on = active_tasks_by_worker_.find(slot.worker);
    on->second.erase(make_task_id(job.key, index));
    if (on->second.empty())
        active_tasks_by_worker_.erase(on);
    active_resources_[customer_id(job.spec.customer())] -= slot.committed;
}

job_entry* job_book::find(const job_key& key) {
    const auto it = entries_.find(key);
    return it == entries_.end() ? nullptr : &it->second;
}

const job_entry* job_book::find(const job_key& key) const {
    const auto it = entries_.find(key);
    return it == entries_.end() ? nullptr : &it->second;
}

const task_slot* job_book::slot(const task_id& task) const {
    const std::optional<task_name> name = parse_task_id(task.str());
    if (!name)
        return nullptr;
    const job_entry* job = find(name->job);
    if (!job || name->index >= static_cast<int>(job->tasks.size()))
        return nullptr;
    return &job->tasks[static_cast<std::size_t>(name->index)];
}

void job_book::set_phase(job_entry& job, int index, task_phase phase) {
    task_slot& slot = job.tasks[static_cast<std::size_t>(index)];
    if (slot.phase == task_phase::active && phase != task_phase::active)
        deactivate(job, index);
    job.active -= slot.phase == task_phase::active ? 1 : 0;
    job.blocked -= slot.phase == task_phase::blocked ? 1 : 0;
    job.done -= slot.phase == task_phase::done ? 1 : 0;
    if (slot.phase == task_phase::queued)
        job.queued.erase(index);
    slot.phase = phase;
    job.active += phase == task_phase::active ? 1 : 0;
    job.blocked += phase == task_phase::blocked ? 1 : 0;
    job.done += phase == task_phase::done ? 1 : 0;
    if (phase == task_phase::queued)
        job.queued.insert(index);
}

void job_book::requeue(job_entry& job, int index) {
    set_phase(job, index, job.fenced_off ? task_phase::blocked : task_phase::queued);
}

attempt_number job_book::begin(job_entry& job, int index, const attempt_placement& placement) {
    task_slot& slot = job.tasks[static_cast<std::size_t>(index)];
    assert(slot.phase == task_phase::queued && !job.has_ended() && !job.moving);
    slot.attempt = std::max(slot.attempt, job.attempt_base).next();
    activate(job, index, placement);
    set_phase(job, index, task_phase::active);
    return slot.attempt;
}

void job_book::on_attempt_observed(const task_id& task, attempt_number attempt,
                                   const attempt_placement& placement) {
    const std::optional<task_name> name = parse_task_id(task.str());
    job_entry* job = name ? find(name->job) : nullptr;
    if (!job || name->index >= static_cast<int>(job->tasks.size()))
        return;
    task_slot& slot = job->tasks[static_cast<std::size_t>(name->index)];
    if (slot.phase == task_phase::done || attempt < slot.attempt)
        return;
    // The log already records the end of this attempt, so the observation is out of date.
    if (attempt == slot.attempt && slot.phase != task_phase::active)
        return;
    if (attempt == slot.attempt && placement.worker == slot.worker) {
        slot.epoch = std::max(slot.epoch, placement.epoch);
        return;
    }
    activate(*job, name->index, placement);
    slot.attempt = attempt;
    set_phase(*job, name->index, task_phase::active);
}

std::optional<pb::TaskEnded> job_book::on_attempt_ended(const pb::EndedTask& report,
                                                        const worker_id& worker,
                                                        bool failed_for_good) {
    const std::optional<task_name> name = parse_task_id(report.key().task());
    job_entry* job = name ? find(name->job) : nullptr;
    if (!job || name->index >= static_cast<int>(job->tasks.size()))
        return std::nullopt;
    task_slot& slot = job->tasks[static_cast<std::size_t>(name->index)];
    const attempt_number attempt(report.key().attempt());
    const bool usable = job->spec.checkpointable() && !report.checkpoint().empty();
    if (usable && attempt > slot.checkpoint_attempt) {
        slot.checkpoint = report.checkpoint();
        slot.checkpoint_attempt = attempt;
    }
    if (slot.phase == task_phase::done || attempt < slot.attempt)
        return std::nullopt;
    if (attempt == slot.attempt && slot.phase != task_phase::active)
        return std::nullopt;
    slot.attempt = attempt;
    const bool finished = report.end() == pb::TASK_END_FINISHED;
    const bool final = finished || failed_for_good || job->cancelled;
    slot.failed = final && !finished;
    if (final)
        set_phase(*job, name->index, task_phase::done);
    else
        requeue(*job, name->index);

    pb::TaskEnded out;
    out.set_job(job->spec.id());
    out.set_customer(job->spec.customer());
    out.set_task_index(name->index);
    out.set_attempt(attempt.value());
    out.set_end(report.end());
    out.set_checkpoint(slot.checkpoint);
    out.set_worker(worker.str());
    out.set_final(final);
    return out;
}

bool job_book::on_attempt_lost(const task_id& task, attempt_number attempt) {
    const std::optional<task_name> name = parse_task_id(task.str());
    job_entry* job = name ? find(name->job) : nullptr;
    if (!job || name->index >= static_cast<int>(job->tasks.size()))
        return false;
    const task_slot& slot = job->tasks[static_cast<std::size_t>(name->index)];
    if (slot.phase != task_phase::active || slot.attempt != attempt)
        return false;
    if (job->cancelled)
        set_phase(*job, name->index, task_phase::done);
    else
        requeue(*job, name->index);
    return true;
}

void job_book::lift_fence(const job_key& key) {
    job_entry* job = find(key);
    if (!job || !job->fenced_off)
        return;
    job->fenced_off = false;
    for (int i = 0; i < static_cast<int>(job->tasks.size()); ++i) {
        if (job->tasks[static_cast<std::size_t>(i)].phase == task_phase::blocked)
            set_phase(*job, i, job->cancelled ? task_phase::done : task_phase::queued);
    }
}

std::vector<running_attempt> job_book::cancel(const job_key& key) {
    std::vector<running_attempt> running;
    job_entry* job = find(key);
    if (!job)
        return running;
    job->cancelled = true;
    for (int i = 0; i < static_cast<int>(job->tasks.size()); ++i) {
        const task_slot& slot = job->tasks[static_cast<std::size_t>(i)];
        if (slot.phase == task_phase::active)
            running.push_back({make_task_id(key, i), slot.attempt, slot.worker});
        else if (slot.phase == task_phase::queued)
            set_phase(*job, i, task_phase::done);
    }
    return running;
}

} // namespace figwinch
