#include "cell/cell_coordinator.h"
#include "figwinch/cell/record_codec.h"

#include <utility>

namespace figwinch {
namespace {

job_progress progress_of(const job_work& job) {
    job_progress progress;
    progress.begun = job.begun;
    progress.phase = job.phase;
    progress.occurrences_ended = job.occurrences_ended;
    if (job.phase != job_phase::open)
        return progress;
    for (const auto& [number, occurrence] : job.occurrences) {
        occurrence_progress& kept = progress.occurrences[number];
        for (const step_work& step : occurrence->steps) {
            std::vector<task_progress>& tasks = kept.steps.emplace_back();
            for (const task_work& task : step.tasks)
                tasks.push_back(task.progress);
        }
    }
    return progress;
}

} // namespace

void cell_coordinator::mark_dirty(job_work& job) {
    if (std::exchange(job.dirty, true))
        return;
    dirty_.push_back(&job);
}

void cell_coordinator::mark_widened(job_work& job, const worker_work& worker) {
    job.ordered_to.add(worker.listing.id);
    if (!std::exchange(job.widened, true))
        widened_.push_back(&job);
}

void cell_coordinator::write_dirty() {
    for (job_work* const job : std::exchange(widened_, {})) {
        job->widened = false;
        with_.journal.write(
            {record_key(record_kind::ordered_to, job->id.str()), job->ordered_to.encode(), 0});
    }
    for (job_work* const job : std::exchange(dirty_, {})) {
        job->dirty = false;
        write_progress(*job);
    }
}

void cell_coordinator::write_progress(const job_work& job) {
    with_.journal.write(
        {record_key(record_kind::progress, job.id.str()), encode_progress(progress_of(job)), 0});
}

/// Lasting tasks must run again soon when a reign ends, and are few: a worker is recorded for each.
/// Of others the job records all workers that it uses. Members of a gang start and go together.
bool cell_coordinator::has_own_record(const step_spec& step) {
    return step.is_service && !step.gang;
}

/// Whether the log has it that the task's runs may be on the worker.
bool cell_coordinator::is_recorded_at(const task_work& task, const worker_work& worker) {
    if (!has_own_record(*task.step->spec))
        return task.job->recorded_to.may_contain(worker.listing.id);
    return task.recorded && task.progress.assigned_worker == worker.listing.id;
}

/// Has it written that the task's runs may be on the worker.
void cell_coordinator::note_place(task_work& task, const worker_work& worker) {
    if (!has_own_record(*task.step->spec))
        return mark_widened(*task.job, worker);
    task.progress.assigned_worker = worker.listing.id;
    task.recorded = false;
    mark_dirty(*task.job);
}

/// Orders the starts of this round that wait for the log, in one batch.
void cell_coordinator::order_when_recorded() {
    if (recording_.empty())
        return;
    write_dirty();
    with_.journal.barrier(
        [this, weak = std::weak_ptr(alive_), starts = std::exchange(recording_, {})] {
            if (weak.expired() || deposed_)
                return;
            for (const auto& [name, run] : starts)
                order_recorded(name, run);
        });
}

void cell_coordinator::order_recorded(const task_name& name, run_number run) {
    task_work* const task = find_task(name);
    if (task == nullptr || task->where == nullptr || task->run.number != run)
        return;
    worker_work& worker = *task->where;
    if (has_own_record(*task->step->spec))
        task->recorded = true;
    else
        task->job->recorded_to.add(worker.listing.id);
    if (task->run.now != task_run::phase::starting)
        return;
    // The log may have been silent for seconds: by now the worker may be leaving.
    if (!sees_notices())
        return give_back(*task, worker, "view_old", duration::zero());
    if (!usable(worker, *task->job))
        return give_back(*task, worker, "unusable", duration::zero());
    order_start(*task);
}

} // namespace figwinch
