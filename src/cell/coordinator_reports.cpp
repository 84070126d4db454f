#include "cell/cell_coordinator.h"
#include "figwinch/observe.h"

#include <algorithm>

namespace figwinch {
namespace {

// Jobs that a predecessor took up are read within its last second and one reading period.
constexpr duration unread_job_wait = std::chrono::seconds(3);

} // namespace

void cell_coordinator::take_ends(worker_work& worker, const std::vector<ended_run>& rows) {
    const std::uint64_t seen_before = worker.seen;
    for (const ended_run& row : rows) {
        if (row.sequence <= worker.seen)
            continue;
        worker.seen = row.sequence;
        take_end(worker, row);
    }
    if (worker.seen == seen_before)
        return;
    // A worker forgets an end once it is noted, so the log has to have it first.
    write_dirty();
    with_.journal.barrier([this, weak = std::weak_ptr(alive_), id = worker.listing.id,
                           born = worker.born_ms, noted = worker.seen] {
        if (weak.expired())
            return;
        worker_work* const known = find_worker(id);
        if (known == nullptr || known->born_ms != born)
            return;
        known->noted = std::max(known->noted, noted);
        hold_at(*known, with_.time.now());
    });
}

void cell_coordinator::take_running(worker_work& worker, const worker_report& report,
                                    instant asked) {
    const std::uint64_t number = ++worker.reports;
    worker.wants_names = false;
    std::vector<const task_work*> shown;
    shown.reserve(report.running.size());
    for (const active_run& row : report.running) {
        task_work* const task = task_of(worker, row);
        shown.push_back(task);
        if (task == nullptr && row.task.empty()) {
            worker.wants_names = true;
            continue;
        }
        take_row(worker, row, task);
        if (task != nullptr && task->where == &worker && task->run.number == row.run)
            task->run.shown_in = number;
    }
    drop_missing(worker, report, asked);
    worker.strays = stray_size(worker, report, shown);
}

/// The task that a row of a worker's report names. Nearly all rows are of runs that are known to be
/// there, which needs no look-up by name.
task_work* cell_coordinator::task_of(const worker_work& worker, const active_run& row) {
    task_work* found = nullptr;
    for (task_work* const task : worker.tasks) {
        if (task->run.number != row.run)
            continue;
        if (task->run.name == row.task)
            return task;
        // Members of a gang have the same number.
        if (row.task.empty() && found != nullptr)
            return nullptr;
        found = task;
    }
    if (row.task.empty())
        return found;
    const auto name = parse_task_name(row.task);
    return name ? find_task(*name) : nullptr;
}

void cell_coordinator::take_row(worker_work& worker, const active_run& row, task_work* task) {
    const instant now = with_.time.now();
    const bool wanted = task != nullptr && task->job->phase == job_phase::open &&
                        !task->progress.done && task->where == nullptr;
    if (wanted) {
        // Started by a predecessor, or a start whose answer never came.
        task->run = task_run{};
        task->run.number = row.run;
        task->run.name = row.task;
        task->run.ordered_at = now;
        task->run.seen_at = now;
        task->run.now = task_run::phase::running;
        task->run.settled_at = now;
        task->job->begun = true;
        // What it was paced to isn't told.
        if (task->step->spec->is_best_effort)
            task->run.pace_set = task_run::pace_unknown;
        bind(*task, worker);
        // The next successor looks for it where the log says.
        if (!is_recorded_at(*task, worker))
            note_place(*task, worker);
    }
    // A predecessor that didn't know yet that it was one may have started a job that isn't read
    // here yet: to stop it as a stray would lose its work, and the job would be started beside it.
    if (task == nullptr && now - began_ < unread_job_wait)
        return;
    if (task == nullptr || task->where != &worker || task->run.number != row.run)
        return stop_stray(worker, row.task, row.run);
    task_run& run = task->run;
    run.may_live_until_ms = 0;
    if (run.now == task_run::phase::starting)
        run.now = task_run::phase::running;
    note_progress(run, row.progress_percent);
    run.recent = row.latency_ms_or_cpu_millis;
    if (!row.checkpoint.empty())
        run.checkpoint = row.checkpoint;
}

/// Gives up runs that the worker's report proves gone: the report was asked for after the last
/// order about the run was answered, or the start can no longer take effect by the worker's clock.
void cell_coordinator::drop_missing(worker_work& worker, const worker_report& report,
                                    instant asked) {
    std::vector<task_work*> gone;
    for (task_work* const task : worker.tasks) {
        const task_run& run = task->run;
        if (run.shown_in == worker.reports)
            continue;
        const bool settled = run.settled_at && *run.settled_at < asked;
        const bool start_passed = run.now == task_run::phase::stopping && !run.settled_at &&
                                  run.start_until_ms < report.clock_ms;
        if (settled || start_passed)
            gone.push_back(task);
    }
    for (task_work* const task : gone) {
        log_event(log_level::warn, "run_gone",
                  {{"task", to_string(name_of(*task))}, {"worker", worker.listing.id.str()}});
        release(*task);
    }
}

/// What the rows of a report take that aren't runs of ours. They count until they have gone: what
/// is being stopped still has its room. Nothing when a row's job isn't known.
std::optional<resources> cell_coordinator::stray_size(const worker_work& worker,
                                                      const worker_report& report,
                                                      const std::vector<const task_work*>& shown) {
    resources sum;
    for (std::size_t index = 0; index < shown.size(); ++index) {
        const task_work* const task = shown[index];
        if (task == nullptr)
            return std::nullopt;
        if (task->where == &worker && task->run.number == report.running[index].run)
            continue;
        resources size = task->step->spec->size;
        size.cpu_millis = task->step->spec->is_best_effort ? 0 : size.cpu_millis;
        sum += size;
    }
    return sum;
}

} // namespace figwinch
