#include "cell/cell_coordinator.h"
#include "figwinch/observe.h"

#include <algorithm>

namespace figwinch {
namespace {

// How long after the start of a term a job that a predecessor took up in its last second may be
// unread: that second and one reading interval.
constexpr duration unread_job_wait = std::chrono::seconds(3);

} // namespace

void cell_coordinator::apply_ended_runs(worker_state& worker, const std::vector<ended_run>& rows) {
    const std::uint64_t seen_before = worker.ends_processed;
    for (const ended_run& row : rows) {
        if (row.sequence <= worker.ends_processed)
            continue;
        worker.ends_processed = row.sequence;
        apply_ended_run(worker, row);
    }
    if (worker.ends_processed == seen_before)
        return;
    // A worker discards an ended run once its end is acknowledged, so the log must have it first.
    write_dirty();
    deps_.progress_log.barrier([this, weak = std::weak_ptr(alive_), id = worker.listing.id,
                                born = worker.born_ms, noted = worker.ends_processed] {
        if (weak.expired())
            return;
        worker_state* const known = find_worker(id);
        if (known == nullptr || known->born_ms != born)
            return;
        known->ends_recorded = std::max(known->ends_recorded, noted);
        schedule_renewal(*known, deps_.time.now());
    });
}

/// Processes the ended runs of a report, unless the worker lists them in several reports and too
/// many other workers do so too. They are then listed again.
void cell_coordinator::process_ended_runs(worker_state& worker, const worker_report& report) {
    const bool was_unread = std::exchange(worker.has_unread_ends, report.has_more_ended);
    if (!report.has_more_ended) {
        apply_ended_runs(worker, report.ended);
        if (was_unread)
            stop_reading_ends(worker);
        return;
    }
    const bool admitted = ended_pages_.admit(worker.listing.id);
    if (!was_unread)
        log_event(log_level::info, "ended_runs_unread",
                  {{"worker", worker.listing.id.str()},
                   {"listed", static_cast<std::int64_t>(report.ended.size())},
                   {"processed", static_cast<std::int64_t>(worker.ends_processed)},
                   {"workers_waiting", static_cast<std::int64_t>(ended_pages_.waiting())}});
    if (admitted)
        apply_ended_runs(worker, report.ended);
}

/// The worker's ended runs have all been read, or can't be read any more: the next worker is asked.
void cell_coordinator::stop_reading_ends(worker_state& worker) {
    worker.has_unread_ends = false;
    const std::optional<worker_id> next = ended_pages_.remove(worker.listing.id);
    if (worker_state* const admitted = next ? find_worker(*next) : nullptr)
        schedule_renewal(*admitted, deps_.time.now());
}

void cell_coordinator::apply_running_runs(worker_state& worker, const worker_report& report,
                                          instant asked) {
    const std::uint64_t number = ++worker.report_count;
    worker.needs_task_names = false;
    std::vector<const task_state*> shown;
    shown.reserve(report.running.size());
    for (const active_run& row : report.running) {
        task_state* const task = task_of(worker, row);
        shown.push_back(task);
        if (task == nullptr && row.task.empty()) {
            worker.needs_task_names = true;
            mark_shown(worker, row.run);
            continue;
        }
        apply_running_run(worker, row, task);
        if (task != nullptr && task->assigned_worker == &worker && task->run.number == row.run)
            task->run.shown_in_report = number;
    }
    release_missing_runs(worker, report, asked);
    worker.orphaned = orphan_resources(worker, report, shown);
}

/// Marks all runs of that number as shown in the worker's newest report, which has a run of one of
/// them but doesn't name its task: any of them may be the one that isn't gone.
void cell_coordinator::mark_shown(const worker_state& worker, run_number run) {
    for (task_state* const task : worker.tasks)
        if (task->run.number == run)
            task->run.shown_in_report = worker.report_count;
}

/// Returns the task of a row in a worker's report. Nearly all rows show runs known to be there,
/// which are found without a lookup by name.
task_state* cell_coordinator::task_of(const worker_state& worker, const active_run& row) {
    task_state* found = nullptr;
    for (task_state* const task : worker.tasks) {
        if (task->run.number != row.run)
            continue;
        if (task->run.name == row.task)
            return task;
        // Members of a gang share one run number, so the number alone is ambiguous.
        if (row.task.empty() && found != nullptr)
            return nullptr;
        found = task;
    }
    if (row.task.empty())
        return found;
    const auto name = parse_task_name(row.task);
    return name ? find_task(*name) : nullptr;
}

void cell_coordinator::apply_running_run(worker_state& worker, const active_run& row,
                                         task_state* task) {
    const instant now = deps_.time.now();
    if (task != nullptr)
        clear_of_crash(*task, row.run);
    const bool wanted = task != nullptr && task->job->phase == job_phase::open &&
                        !task->progress.done && task->assigned_worker == nullptr;
    if (wanted) {
        // Adopts a run that a predecessor started, or whose start order was not answered.
        task->run = task_run{};
        task->run.number = row.run;
        task->run.name = row.task;
        task->run.ordered_at = now;
        task->run.seen_at = now;
        task->run.first_percent = row.progress_percent;
        task->run.current_phase = task_run::phase::running;
        task->run.no_order_since = now;
        // The report does not tell the CPU throttle of an adopted run.
        if (task->step->spec->is_best_effort)
            task->run.throttle_in_force = task_run::throttle_unknown;
        assign(*task, worker);
        // The next successor looks for the run on the workers that the log names.
        if (!is_recorded_at(*task, worker))
            record_placement(*task, worker);
    }
    // A predecessor that had not noticed yet that it was superseded may have started a job that has
    // not been read here. Stopping the run as orphaned would lose its work, and the job would be
    // started again beside it.
    if (task == nullptr && now - term_started_at_ < unread_job_wait)
        return;
    if (task == nullptr || task->assigned_worker != &worker || task->run.number != row.run)
        return stop_orphaned_run(worker, row.task, row.run);
    task_run& run = task->run;
    mark_begun(*task->job);
    run.may_run_until_ms = 0;
    run.has_started = true;
    run.may_have_ended_unread = false;
    if (run.current_phase == task_run::phase::starting)
        run.current_phase = task_run::phase::running;
    update_progress(run, row.progress_percent);
    run.recent = row.latency_ms_or_cpu_millis;
    if (!row.checkpoint.empty())
        run.checkpoint = row.checkpoint;
    clear_if_lasting(*task);
}

/// Releases runs that the worker's report proves gone: the report was requested after the last
/// order about the run was answered, or the start order has expired by the worker's clock. While
/// ended runs are unread, the run may be one of them: a service task is started again however its
/// run ended, but any other may be done.
void cell_coordinator::release_missing_runs(worker_state& worker, const worker_report& report,
                                            instant asked) {
    std::vector<task_state*> gone;
    for (task_state* const task : worker.tasks) {
        const task_run& run = task->run;
        if (run.shown_in_report == worker.report_count)
            continue;
        const bool settled = run.no_order_since && *run.no_order_since < asked;
        const bool start_passed = run.current_phase == task_run::phase::stopping &&
                                  !run.no_order_since && run.start_expires_ms < report.clock_ms;
        if (!settled && !start_passed)
            continue;
        if (worker.has_unread_ends && !task->step->spec->is_service)
            task->run.may_have_ended_unread = true;
        else
            gone.push_back(task);
    }
    for (task_state* const task : gone) {
        log_event(log_level::warn, "run_gone",
                  {{"task", to_string(name_of(*task))},
                   {"run", static_cast<std::int64_t>(task->run.number.value())},
                   {"worker", worker.listing.id.str()},
                   {"had_started", task->run.has_started},
                   {"ends_in_report", static_cast<std::int64_t>(report.ended.size())},
                   {"ends_processed", static_cast<std::int64_t>(worker.ends_processed)}});
        end_trial(*task, task->run.number);
        release(*task);
    }
}

/// Returns the resources of reported runs that do not belong to this worker's tasks. They count
/// until the runs have gone, also while they are being stopped. Returns nothing if the task of a
/// run is unknown.
std::optional<resources>
cell_coordinator::orphan_resources(const worker_state& worker, const worker_report& report,
                                   const std::vector<const task_state*>& shown) {
    resources sum;
    for (std::size_t index = 0; index < shown.size(); ++index) {
        const task_state* const task = shown[index];
        if (task == nullptr)
            return std::nullopt;
        if (task->assigned_worker == &worker && task->run.number == report.running[index].run)
            continue;
        resources size = task->step->spec->size;
        size.cpu_millis = task->step->spec->is_best_effort ? 0 : size.cpu_millis;
        sum += size;
    }
    return sum;
}

} // namespace figwinch
