#include "cell/cell_coordinator.h"
#include "cell/job_estimate.h"
#include "figwinch/cell/record_codec.h"
#include "figwinch/observe.h"

#include <algorithm>

namespace figwinch {
namespace {

// How much longer than promised the state of a finished job is kept for callers.
constexpr duration status_slack = std::chrono::seconds(30);

// A job's prospect is estimated again after this time at the earliest.
constexpr duration min_estimate_age = std::chrono::milliseconds(100);

/// Returns the longest chain of dependent steps by the submitter's estimates.
duration longest_chain(const job_spec& spec) {
    std::vector<duration> ends;
    for (const step_spec& step : spec.steps) {
        duration begin{};
        for (const std::uint32_t earlier : step.depends_on)
            begin = std::max(begin, ends[earlier]);
        ends.push_back(begin + step.estimate);
    }
    return ends.empty() ? duration::zero() : *std::ranges::max_element(ends);
}

/// Returns how long ago a job was submitted. Wall clocks differ between hosts and may jump, so the
/// age is limited to the range from zero to the retention time of job state.
duration age_of(const job_spec& spec, wall_time now, duration longest) {
    if (spec.accepted_at == wall_time{})
        return duration::zero();
    return std::clamp<duration>(now - spec.accepted_at, duration::zero(), longest);
}

/// Returns whether the progress names a worker for any single task.
bool names_a_worker(const job_progress& progress) {
    return std::ranges::any_of(progress.occurrences, [](const auto& occurrence) {
        return std::ranges::any_of(occurrence.second.steps, [](const auto& tasks) {
            return std::ranges::any_of(
                tasks, [](const task_progress& task) { return !task.assigned_worker.empty(); });
        });
    });
}

} // namespace

void cell_coordinator::add_job(const job_entry& entry, bool may_have_earlier_runs) {
    if (!entry.spec)
        return;
    auto created = std::make_unique<job_state>();
    job_state& job = *created;
    job.id = entry.id;
    job.spec = entry.spec;
    job.intake_offset = entry.intake_offset;
    job.submitted_at =
        deps_.time.now() - age_of(*entry.spec, deps_.time.wall_now(), settings_.status_retention);
    const duration chain = longest_chain(*entry.spec);
    job.objective_at = job.submitted_at + job.spec->target +
                       std::chrono::duration_cast<duration>(chain * job.spec->stretch);
    job.may_have_earlier_runs = may_have_earlier_runs;
    job.phase = entry.phase;
    job.begun = entry.begun;
    job.last_usual_run_at = deps_.time.now();
    job.ordered_to = entry.ordered_to;
    job.recorded_to = entry.ordered_to;
    apply_queue_config(job);
    jobs_.emplace(entry.id, std::move(created));
    job_index_.emplace(entry.id, &job);
    if (job.phase != job_phase::open) {
        job.ended_at = deps_.time.now();
        ended_jobs_.push_back(&job);
        return;
    }
    open_jobs_.push_back(&job);
    if (const auto progress = decode_progress(entry.progress_record))
        restore_progress(job, *progress);
    if (entry.cancel_wanted)
        return end_job(job, job_phase::cancelled);
    make_due_occurrences(job);
    give_up_recorded(job);
    mark_changed(job);
    placement_due_ = true;
}

void cell_coordinator::restore_progress(job_state& job, const job_progress& progress) {
    job.occurrences_ended = progress.occurrences_ended;
    job.occurrences_made = progress.occurrences_ended;
    for (const auto& [number, kept] : progress.occurrences) {
        if (number >= job.occurrence_count())
            continue;
        occurrence_state& occurrence = make_occurrence(job, number);
        job.occurrences_made = std::max(job.occurrences_made, number + 1);
        const std::size_t steps = std::min(kept.steps.size(), occurrence.steps.size());
        for (std::size_t s = 0; s < steps; ++s) {
            step_state& step = occurrence.steps[s];
            const std::size_t tasks = std::min(kept.steps[s].size(), step.tasks.size());
            for (std::size_t t = 0; t < tasks; ++t) {
                step.tasks[t].progress = kept.steps[s][t];
                step.tasks[t].recorded = true;
                step.unfinished -= kept.steps[s][t].done ? 1 : 0;
            }
        }
        occurrence.unfinished_steps = static_cast<std::uint32_t>(std::ranges::count_if(
            occurrence.steps, [](const step_state& s) { return s.unfinished > 0; }));
        update_ready(occurrence);
    }
    job.may_run_on_any_worker =
        progress.begun && job.ordered_to.empty() && !names_a_worker(progress);
}

void cell_coordinator::apply_queue_config(job_state& job) const {
    const queue_config* const queue = config_.find(job.spec->queue);
    job.service = queue != nullptr ? queue->service : job.spec->service;
    job.priority = queue != nullptr ? queue->priority : job.spec->priority;
    job.attempts = queue != nullptr ? queue->max_attempts : job.spec->attempts;
    // If the queue no longer exists, the last known advice terms stay in force.
    if (queue != nullptr)
        job.advice = queue->advice;
}

void cell_coordinator::update_outlook(job_state& job) const {
    const job_estimate outlook = estimate_job(job, deps_.time.now());
    job.prospect = outlook.prospect;
    job.work_left = outlook.work_left;
    job.prospect_until = std::max(outlook.prospect_until, deps_.time.now() + min_estimate_age);
}

job_state* cell_coordinator::find_job(const job_id& id) {
    const auto known = job_index_.find(id);
    return known == job_index_.end() ? nullptr : known->second;
}

task_state* cell_coordinator::find_task(const task_name& name) {
    job_state* const job = find_job(name.job);
    if (job == nullptr)
        return nullptr;
    const auto occurrence = job->occurrences.find(name.occurrence);
    if (occurrence == job->occurrences.end())
        return nullptr;
    if (name.step >= occurrence->second->steps.size())
        return nullptr;
    step_state& step = occurrence->second->steps[name.step];
    return name.index < step.tasks.size() ? &step.tasks[name.index] : nullptr;
}

task_name cell_coordinator::name_of(const task_state& task) {
    return {task.job->id, task.step->occurrence->number, task.step->number, task.index};
}

void cell_coordinator::end_task(task_state& task) {
    if (task.progress.done || task.job->phase != job_phase::open)
        return;
    task.progress.done = true;
    task.progress.checkpoint.clear();
    mark_dirty(*task.job);
    mark_changed(*task.job);
    placement_due_ = true;
    if (--task.step->unfinished == 0)
        end_step(*task.job, *task.step);
}

void cell_coordinator::end_step(job_state& job, step_state& step) {
    occurrence_state& occurrence = *step.occurrence;
    update_ready(occurrence);
    if (--occurrence.unfinished_steps > 0)
        return;
    while (job.occurrences_ended < job.occurrences_made) {
        const auto first = job.occurrences.find(job.occurrences_ended);
        if (first != job.occurrences.end() && first->second->unfinished_steps > 0)
            return;
        ++job.occurrences_ended;
    }
    if (job.occurrences_ended == job.occurrence_count())
        end_job(job, job_phase::succeeded);
}

void cell_coordinator::end_job(job_state& job, job_phase phase) {
    job.phase = phase;
    job.ended_at = deps_.time.now();
    std::erase(open_jobs_, &job);
    ended_jobs_.push_back(&job);
    mark_dirty(job);
    mark_changed(job);
    for (const auto& [number, occurrence] : job.occurrences)
        for (step_state& step : occurrence->steps)
            for (task_state& task : step.tasks)
                if (task.assigned_worker != nullptr)
                    request_stop(task);
    const duration total_time = job.ended_at - job.submitted_at;
    log_event(log_level::info, "job_ended",
              {{"job", job.id.str()},
               {"queue", job.spec->queue.str()},
               {"phase", std::string(to_string(phase))},
               {"after_ms", static_cast<std::int64_t>(total_time.count() / 1000)}});
}

void cell_coordinator::drop_ended_jobs() {
    const instant now = deps_.time.now();
    std::size_t kept = 0;
    while (kept < ended_jobs_.size()) {
        job_state* const job = ended_jobs_[kept];
        if (now - job->ended_at <= settings_.status_retention + status_slack)
            return;
        if (!may_drop(*job)) {
            ++kept;
            continue;
        }
        ended_jobs_.erase(ended_jobs_.begin() + static_cast<std::ptrdiff_t>(kept));
        drop_job(*job);
    }
}

bool cell_coordinator::may_drop(const job_state& job) const {
    return !job.dirty && !job.ordered_to_changed && !job.requeue_due && job.assigned == 0;
}

void cell_coordinator::drop_job(job_state& job) {
    // The intake record is removed first: a job that has one but no progress record would run
    // again.
    const job_id id = job.id;
    deps_.remove_intake_record(id, [this, weak = std::weak_ptr(alive_), id] {
        if (weak.expired())
            return;
        deps_.progress_log.remove(record_key(record_kind::progress, id.str()));
        deps_.progress_log.remove(record_key(record_kind::ordered_to, id.str()));
        job_index_.erase(id);
        jobs_.erase(id);
    });
}

} // namespace figwinch
