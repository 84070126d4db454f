#include "cell/cell_coordinator.h"
#include "cell/job_outlook.h"
#include "figwinch/cell/record_codec.h"
#include "figwinch/observe.h"

#include <algorithm>

namespace figwinch {
namespace {

// Callers may ask for a finished job's state for this much longer than promised.
constexpr duration status_slack = std::chrono::seconds(30);

bool all_done(const occurrence_work& occurrence, const std::vector<std::uint32_t>& steps) {
    return std::ranges::all_of(
        steps, [&](std::uint32_t number) { return occurrence.steps[number].left == 0; });
}

bool has_runs(const job_work& job) {
    return std::ranges::any_of(job.occurrences, [](const auto& entry) {
        return std::ranges::any_of(entry.second->steps,
                                   [](const step_work& step) { return step.placed > 0; });
    });
}

/// The longest chain of steps by the submitter's guesses.
duration longest_chain(const job_spec& spec) {
    std::vector<duration> ends;
    for (const step_spec& step : spec.steps) {
        duration begin{};
        for (const std::uint32_t earlier : step.after)
            begin = std::max(begin, ends[earlier]);
        ends.push_back(begin + step.estimate);
    }
    return ends.empty() ? duration::zero() : *std::ranges::max_element(ends);
}

/// How long ago a job came. Wall clocks differ and may jump: never before now, and never longer ago
/// than its state is kept.
duration age_of(const job_spec& spec, wall_time now, duration longest) {
    if (spec.accepted_at == wall_time{})
        return duration::zero();
    return std::clamp<duration>(now - spec.accepted_at, duration::zero(), longest);
}

/// Whether progress names a worker for a task of its own.
bool names_a_worker(const job_progress& progress) {
    return std::ranges::any_of(progress.occurrences, [](const auto& occurrence) {
        return std::ranges::any_of(occurrence.second.steps, [](const auto& tasks) {
            return std::ranges::any_of(
                tasks, [](const task_progress& task) { return !task.ordered_to.empty(); });
        });
    });
}

} // namespace

void cell_coordinator::add_job(const job_entry& entry, bool may_run_elsewhere) {
    if (!entry.spec)
        return;
    auto made = std::make_unique<job_work>();
    job_work& job = *made;
    job.id = entry.id;
    job.spec = entry.spec;
    job.intake_offset = entry.intake_offset;
    job.came_at =
        with_.time.now() - age_of(*entry.spec, with_.time.wall_now(), settings_.status_kept);
    const duration chain = longest_chain(*entry.spec);
    job.objective_at = job.came_at + job.spec->target +
                       std::chrono::duration_cast<duration>(chain * job.spec->stretch);
    job.may_run_elsewhere = may_run_elsewhere;
    job.phase = entry.phase;
    job.begun = entry.begun;
    job.ordered_to = entry.ordered_to;
    job.recorded_to = entry.ordered_to;
    apply_queue(job);
    jobs_.emplace(entry.id, std::move(made));
    job_index_.emplace(entry.id, &job);
    if (job.phase != job_phase::open) {
        job.ended_at = with_.time.now();
        ended_jobs_.push_back(&job);
        return;
    }
    order_.push_back(&job);
    if (const auto progress = decode_progress(entry.progress_record))
        restore_progress(job, *progress);
    if (entry.cancel_wanted)
        return end_job(job, job_phase::cancelled);
    make_due_occurrences(job);
    look_ahead(job);
    sort_due_ = true;
    placement_due_ = true;
}

void cell_coordinator::restore_progress(job_work& job, const job_progress& progress) {
    job.occurrences_ended = progress.occurrences_ended;
    job.occurrences_made = progress.occurrences_ended;
    for (const auto& [number, kept] : progress.occurrences) {
        if (number >= job.occurrence_count())
            continue;
        occurrence_work& occurrence = make_occurrence(job, number);
        job.occurrences_made = std::max(job.occurrences_made, number + 1);
        const std::size_t steps = std::min(kept.steps.size(), occurrence.steps.size());
        for (std::size_t s = 0; s < steps; ++s) {
            step_work& step = occurrence.steps[s];
            const std::size_t tasks = std::min(kept.steps[s].size(), step.tasks.size());
            for (std::size_t t = 0; t < tasks; ++t) {
                step.tasks[t].progress = kept.steps[s][t];
                step.tasks[t].recorded = true;
                step.left -= kept.steps[s][t].done ? 1 : 0;
            }
        }
        occurrence.steps_left = static_cast<std::uint32_t>(
            std::ranges::count_if(occurrence.steps, [](const step_work& s) { return s.left > 0; }));
        refresh_ready(occurrence);
    }
    job.any_worker_in_doubt = progress.begun && job.ordered_to.empty() && !names_a_worker(progress);
}

occurrence_work& cell_coordinator::make_occurrence(job_work& job, std::uint32_t number) {
    auto made = std::make_unique<occurrence_work>();
    occurrence_work& occurrence = *made;
    occurrence.number = number;
    occurrence.steps.resize(job.spec->steps.size());
    occurrence.steps_left = static_cast<std::uint32_t>(job.spec->steps.size());
    for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
        step_work& step = occurrence.steps[s];
        step.spec = &job.spec->steps[s];
        step.image = slowdowns_.number(step.spec->image);
        step.occurrence = &occurrence;
        step.number = s;
        step.left = step.spec->tasks;
        step.tasks.resize(step.spec->tasks);
        for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
            step.tasks[index].job = &job;
            step.tasks[index].step = &step;
            step.tasks[index].index = index;
            step.tasks[index].down_since = with_.time.now();
        }
    }
    job.occurrences[number] = std::move(made);
    refresh_ready(occurrence);
    return occurrence;
}

void cell_coordinator::make_due_occurrences(job_work& job) {
    if (job.phase != job_phase::open)
        return;
    while (job.occurrences_made < job.occurrence_count()) {
        if (job.spec->repeats > 0) {
            const std::int64_t due =
                job.spec->first_ms + std::int64_t{job.occurrences_made} * job.spec->interval_ms;
            if (with_.time.wall_now().time_since_epoch().count() < due)
                return;
        }
        make_occurrence(job, job.occurrences_made++);
        placement_due_ = true;
    }
}

void cell_coordinator::refresh_ready(occurrence_work& occurrence) {
    for (step_work& step : occurrence.steps)
        step.ready = all_done(occurrence, step.spec->after);
}

void cell_coordinator::apply_queue(job_work& job) const {
    const queue_config* const queue = config_.find(job.spec->queue);
    job.service = queue != nullptr ? queue->service : job.spec->service;
    job.priority = queue != nullptr ? queue->priority : job.spec->priority;
    job.attempts = queue != nullptr ? queue->max_attempts : job.spec->attempts;
    // Of a queue that is gone the terms last known stay.
    if (queue != nullptr)
        job.advice = queue->advice;
}

void cell_coordinator::look_ahead(job_work& job) const {
    const job_outlook outlook = outlook_of(job, with_.time.now());
    job.prospect = outlook.prospect;
    job.work_left = outlook.work_left;
}

void cell_coordinator::sort_jobs() {
    std::ranges::sort(order_, [](const job_work* one, const job_work* other) {
        return is_served_before(*one, *other);
    });
}

job_work* cell_coordinator::find_job(const job_id& id) {
    const auto known = job_index_.find(id);
    return known == job_index_.end() ? nullptr : known->second;
}

task_work* cell_coordinator::find_task(const task_name& name) {
    job_work* const job = find_job(name.job);
    if (job == nullptr)
        return nullptr;
    const auto occurrence = job->occurrences.find(name.occurrence);
    if (occurrence == job->occurrences.end())
        return nullptr;
    if (name.step >= occurrence->second->steps.size())
        return nullptr;
    step_work& step = occurrence->second->steps[name.step];
    return name.index < step.tasks.size() ? &step.tasks[name.index] : nullptr;
}

task_name cell_coordinator::name_of(const task_work& task) {
    return {task.job->id, task.step->occurrence->number, task.step->number, task.index};
}

void cell_coordinator::end_task(task_work& task) {
    if (task.progress.done || task.job->phase != job_phase::open)
        return;
    task.progress.done = true;
    task.progress.checkpoint.clear();
    mark_dirty(*task.job);
    placement_due_ = true;
    if (--task.step->left == 0)
        end_step(*task.job, *task.step);
}

void cell_coordinator::end_step(job_work& job, step_work& step) {
    occurrence_work& occurrence = *step.occurrence;
    refresh_ready(occurrence);
    if (--occurrence.steps_left > 0)
        return;
    while (job.occurrences_ended < job.occurrences_made) {
        const auto first = job.occurrences.find(job.occurrences_ended);
        if (first != job.occurrences.end() && first->second->steps_left > 0)
            return;
        ++job.occurrences_ended;
    }
    if (job.occurrences_ended == job.occurrence_count())
        end_job(job, job_phase::succeeded);
}

void cell_coordinator::end_job(job_work& job, job_phase phase) {
    job.phase = phase;
    job.ended_at = with_.time.now();
    std::erase(order_, &job);
    ended_jobs_.push_back(&job);
    mark_dirty(job);
    for (const auto& [number, occurrence] : job.occurrences)
        for (step_work& step : occurrence->steps)
            for (task_work& task : step.tasks)
                if (task.where != nullptr)
                    request_stop(task);
    const duration taken = job.ended_at - job.came_at;
    log_event(log_level::info, "job_ended",
              {{"job", job.id.str()},
               {"queue", job.spec->queue.str()},
               {"phase", std::string(to_string(phase))},
               {"after_ms", static_cast<std::int64_t>(taken.count() / 1000)}});
}

void cell_coordinator::drop_ended_jobs() {
    const instant now = with_.time.now();
    std::size_t kept = 0;
    while (kept < ended_jobs_.size()) {
        job_work* const job = ended_jobs_[kept];
        if (now - job->ended_at <= settings_.status_kept + status_slack)
            return;
        if (!may_drop(*job)) {
            ++kept;
            continue;
        }
        ended_jobs_.erase(ended_jobs_.begin() + static_cast<std::ptrdiff_t>(kept));
        drop_job(*job);
    }
}

bool cell_coordinator::may_drop(const job_work& job) const {
    return !job.dirty && !job.widened && !has_runs(job);
}

void cell_coordinator::drop_job(job_work& job) {
    // The acceptance goes first: a job that is accepted and has no progress would run again.
    const job_id id = job.id;
    with_.forget(id, [this, weak = std::weak_ptr(alive_), id] {
        if (weak.expired())
            return;
        with_.journal.write({record_key(record_kind::progress, id.str()), std::nullopt, 0});
        with_.journal.write({record_key(record_kind::ordered_to, id.str()), std::nullopt, 0});
        job_index_.erase(id);
        jobs_.erase(id);
    });
}

} // namespace figwinch
