#include "cell/cell_coordinator.h"
#include "figwinch/observe.h"

#include <algorithm>

namespace figwinch {
namespace {

// Quarantine of a worker on which a run made no progress or lagged. Such problems usually last some
// seconds, and a run that is placed there meanwhile has to be moved again.
constexpr duration quarantine_after_straggler = std::chrono::seconds(3);
// No worker is put in quarantine for a straggler once one in this many workers is in quarantine: if
// more look slow, the measurement is off.
constexpr std::size_t workers_per_quarantine = 4;
// A task that lags on every worker is left alone after this many moves.
constexpr std::uint32_t max_moves = 3;
constexpr std::size_t max_samples = 64;
constexpr int full_speed = 100;
constexpr int complete_percent = 100;
// Assumed throttle, in percent, of a run whose throttle is unknown: it was adopted from another
// coordinator, or its throttle order got no answer.
constexpr int assumed_throttle = 50;

run_progress progress_of(const task_state& task) {
    const task_run& run = task.run;
    return {run.worked, run.worked - run.worked_at_change, run.percent, task.step->spec->estimate,
            run.first_percent};
}

} // namespace

/// Updates a run's progress and working time from a report. A throttled run works less than the
/// time that passes.
void cell_coordinator::update_progress(task_run& run, int percent) const {
    const instant now = deps_.time.now();
    const int pace = run.throttle_in_force < 0 ? assumed_throttle : run.throttle_in_force;
    run.worked += (now - run.seen_at) * pace / full_speed;
    run.seen_at = now;
    if (percent != run.percent)
        run.worked_at_change = run.worked;
    run.percent = percent;
}

void cell_coordinator::record_run_time(task_state& task) {
    std::vector<duration>& times = task.step->run_times;
    if (times.size() >= max_samples)
        return;
    run_progress run = progress_of(task);
    run.active_time += deps_.time.now() - task.run.seen_at;
    run.percent = complete_percent;
    if (const auto time = projected_run_time(run))
        times.push_back(*time);
}

/// Moves runs that make no progress, or lag so far behind others of their step that a new run
/// elsewhere would finish sooner.
void cell_coordinator::move_stragglers() {
    counts_.jobs_examined += open_jobs_.size();
    for (job_state* const job : open_jobs_)
        for (const auto& [number, occurrence] : job->occurrences)
            for (step_state& step : occurrence->steps)
                // Members of a gang progress together; service tasks have no end to be late for.
                if (step.assigned > 0 && !step.spec->is_service && !step.spec->gang)
                    move_stragglers_of(step);
}

void cell_coordinator::move_stragglers_of(step_state& step) {
    std::vector<run_progress> running;
    for (const task_state& task : step.tasks)
        if (task.assigned_worker != nullptr && task.run.current_phase == task_run::phase::running)
            running.push_back(progress_of(task));
    const std::optional<duration> usual = typical_run_time(step.run_times, running);
    for (task_state& task : step.tasks) {
        if (task.assigned_worker == nullptr || task.run.current_phase != task_run::phase::running ||
            task.run.may_have_ended_unread || task.moves >= max_moves)
            continue;
        const run_progress run = progress_of(task);
        const bool stuck = is_stalled(run);
        if (stuck || (usual && is_straggler(run, *usual, step.spec->saves_checkpoints)))
            move_straggler(task, stuck);
    }
}

void cell_coordinator::move_straggler(task_state& task, bool stuck) {
    worker_state& worker = *task.assigned_worker;
    const instant now = deps_.time.now();
    log_event(log_level::warn, "straggler_moved",
              {{"task", to_string(name_of(task))},
               {"worker", worker.listing.id.str()},
               {"percent", std::int64_t{task.run.percent}},
               {"worked_ms", static_cast<std::int64_t>(task.run.worked.count() / 1000)},
               {"stands_still", stuck}});
    ++counts_.stragglers;
    ++task.moves;
    task.add_failed_on(worker.listing.id);
    const auto in_quarantine = static_cast<std::size_t>(std::ranges::count_if(
        workers_, [now](const auto& entry) { return entry.second->quarantined_until > now; }));
    if (in_quarantine * workers_per_quarantine < workers_.size())
        worker.quarantined_until =
            std::max(worker.quarantined_until, now + quarantine_after_straggler);
    request_stop(task);
}

} // namespace figwinch
