#include "cell/cell_coordinator.h"
#include "figwinch/cell/record_codec.h"
#include "figwinch/observe.h"

#include <utility>

namespace figwinch {
namespace {

job_progress progress_of(const job_state& job) {
    job_progress progress;
    progress.begun = job.begun;
    progress.phase = job.phase;
    progress.occurrences_ended = job.occurrences_ended;
    if (job.phase != job_phase::open)
        return progress;
    for (const auto& [number, occurrence] : job.occurrences) {
        if (number < job.occurrences_ended)
            continue;
        occurrence_progress& kept = progress.occurrences[number];
        for (const step_state& step : occurrence->steps) {
            std::vector<task_progress>& tasks = kept.steps.emplace_back();
            for (const task_state& task : step.tasks)
                tasks.push_back(task.progress);
        }
    }
    return progress;
}

void drop_checkpoints(job_progress& progress) {
    for (auto& [number, occurrence] : progress.occurrences)
        for (std::vector<task_progress>& tasks : occurrence.steps)
            for (task_progress& task : tasks)
                task.checkpoint.clear();
}

} // namespace

void cell_coordinator::mark_dirty(job_state& job) {
    if (std::exchange(job.dirty, true))
        return;
    dirty_.push_back(&job);
}

void cell_coordinator::add_ordered_to(job_state& job, const worker_state& worker) {
    job.ordered_to.add(worker.listing.id);
    if (!std::exchange(job.ordered_to_changed, true))
        ordered_to_changed_.push_back(&job);
}

void cell_coordinator::write_dirty() {
    for (job_state* const job : std::exchange(ordered_to_changed_, {})) {
        job->ordered_to_changed = false;
        if (!deps_.progress_log.put(record_key(record_kind::ordered_to, job->id.str()),
                                    job->ordered_to.encode()))
            give_up_unrecordable(*job);
    }
    // A job that can't be recorded ends, which is recorded as well before any barrier behind it.
    while (!dirty_.empty()) {
        for (job_state* const job : std::exchange(dirty_, {})) {
            job->dirty = false;
            write_progress(*job);
        }
    }
}

void cell_coordinator::write_progress(job_state& job) {
    const std::string key = record_key(record_kind::progress, job.id.str());
    job_progress progress = progress_of(job);
    if (deps_.progress_log.put(key, encode_progress(progress)))
        return;
    // A task without its checkpoint begins anew after a change of coordinator.
    drop_checkpoints(progress);
    if (!deps_.progress_log.put(key, encode_progress(progress)))
        give_up_unrecordable(job);
}

/// Handles a record that the log rejects although it is within the configured limit. Returns
/// whether to drop it: only once the log has taken another append since, because a log that rejects
/// everything would end all jobs. A worker without a record gets no starts; learned slowdowns are
/// recorded again when they change.
bool cell_coordinator::handle_rejected_record(const stored_record& record) {
    if (std::exchange(rejected_key_, record.key) != record.key)
        rejected_since_ = {};
    if (!is_confirmed_since(rejected_since_))
        return false;
    rejected_key_.clear();
    const auto kind = static_cast<record_kind>(record.key.front());
    if (kind != record_kind::progress && kind != record_kind::ordered_to)
        return true;
    if (job_state* const job = find_job(job_id(record.key.substr(1))))
        give_up_unrecordable(*job);
    write_dirty();
    return true;
}

/// Ends a job whose progress or workers the log doesn't take as a record. Without the record its
/// tasks would run again after a change of coordinator.
void cell_coordinator::give_up_unrecordable(job_state& job) {
    log_event(log_level::error, "job_too_large", {{"job", job.id.str()}});
    if (job.phase == job_phase::open)
        end_job(job, job_phase::failed);
}

/// Returns whether the log has a worker record for each task of the step. Service tasks have one,
/// since they must restart soon after a change of coordinator and are few. For other tasks the job
/// records all workers that it uses. Members of a gang start and end together.
bool cell_coordinator::has_record_per_task(const step_spec& step) {
    return step.is_service && !step.gang;
}

/// Returns whether the log has a record that runs of the task may be on the worker.
bool cell_coordinator::is_recorded_at(const task_state& task, const worker_state& worker) {
    if (!has_record_per_task(*task.step->spec))
        return task.job->recorded_to.may_contain(worker.listing.id);
    return task.recorded && task.progress.assigned_worker == worker.listing.id;
}

/// Writes a record that runs of the task may be on the worker.
void cell_coordinator::record_placement(task_state& task, const worker_state& worker) {
    if (!has_record_per_task(*task.step->spec))
        return add_ordered_to(*task.job, worker);
    task.progress.assigned_worker = worker.listing.id;
    task.recorded = false;
    mark_dirty(*task.job);
}

/// Sends the start orders of this round that wait for their records, in one batch.
void cell_coordinator::order_when_recorded() {
    if (unrecorded_starts_.empty())
        return;
    write_dirty();
    deps_.progress_log.barrier(
        [this, weak = std::weak_ptr(alive_), starts = std::exchange(unrecorded_starts_, {})] {
            if (weak.expired() || superseded_)
                return;
            for (const auto& [name, run] : starts)
                order_recorded(name, run);
        });
}

void cell_coordinator::order_recorded(const task_name& name, run_number run) {
    task_state* const task = find_task(name);
    if (task == nullptr || task->assigned_worker == nullptr || task->run.number != run)
        return;
    worker_state& worker = *task->assigned_worker;
    if (has_record_per_task(*task->step->spec))
        task->recorded = true;
    else
        task->job->recorded_to.add(worker.listing.id);
    if (task->run.current_phase != task_run::phase::starting)
        return;
    // The log may not have answered for seconds: by now the worker may be leaving, have shrunk, or
    // be another incarnation with other labels.
    if (!has_current_notices())
        return handle_refused_start(*task, worker, "view_old", duration::zero());
    if (worker.born_ms != task->run.incarnation)
        return handle_refused_start(*task, worker, "other_incarnation", duration::zero());
    if (!is_usable(worker, *task->job))
        return handle_refused_start(*task, worker, "unusable", duration::zero());
    if (!is_within_capacity(worker))
        return handle_refused_start(*task, worker, "shrunk", duration::zero());
    order_start(*task);
}

} // namespace figwinch
