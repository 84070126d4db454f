#include "cell/cell_coordinator.h"
#include "figwinch/observe.h"

#include <algorithm>

namespace figwinch {
namespace {

// A worker on which a run stood still or lagged gets nothing new for so long: its trouble lasts
// some seconds as a rule, and whatever is placed there has to be moved again.
constexpr duration rest_after_straggler = std::chrono::seconds(3);
// More workers than this share can't all be slow: then it is the measure that is off.
constexpr std::size_t most_resting_share = 4;
// A task that lags wherever it runs is left alone after so many moves.
constexpr std::uint32_t most_moves = 3;
constexpr std::size_t most_samples = 64;
constexpr int full_pace = 100;
// A run taken over from another coordinator has a pace that nobody tells, and so has one whose
// order to pace got no answer.
constexpr int unknown_pace = 50;

run_progress progress_of(const task_work& task) {
    const task_run& run = task.run;
    return {run.worked, run.worked - run.worked_at_change, run.percent, task.step->spec->estimate};
}

} // namespace

/// Adds up for how long a run may have worked, from one report to the next.
void cell_coordinator::note_progress(task_run& run, int percent) const {
    const instant now = with_.time.now();
    const int pace = run.pace_set < 0 ? unknown_pace : run.pace_set;
    run.worked += (now - run.seen_at) * pace / full_pace;
    run.seen_at = now;
    if (percent != run.percent)
        run.worked_at_change = run.worked;
    run.percent = percent;
}

void cell_coordinator::note_whole_time(task_work& task) {
    std::vector<duration>& times = task.step->whole_times;
    if (times.size() < most_samples)
        times.push_back(task.run.worked + (with_.time.now() - task.run.seen_at));
}

/// Moves runs that stand still, or that lag so far behind others of their step that a new one
/// elsewhere would be done sooner.
void cell_coordinator::move_stragglers() {
    for (job_work* const job : order_)
        for (const auto& [number, occurrence] : job->occurrences)
            for (step_work& step : occurrence->steps)
                // Members of a gang work together; lasting tasks have no end to be late for.
                if (step.placed > 0 && !step.spec->is_service && !step.spec->gang)
                    move_stragglers_of(step);
}

void cell_coordinator::move_stragglers_of(step_work& step) {
    std::vector<run_progress> running;
    for (const task_work& task : step.tasks)
        if (task.where != nullptr && task.run.now == task_run::phase::running)
            running.push_back(progress_of(task));
    const std::optional<duration> usual = typical_run_time(step.whole_times, running);
    for (task_work& task : step.tasks) {
        if (task.where == nullptr || task.run.now != task_run::phase::running ||
            task.moves >= most_moves)
            continue;
        const run_progress run = progress_of(task);
        const bool still = is_stalled(run);
        if (still || (usual && is_straggler(run, *usual, step.spec->saves_checkpoints)))
            move_straggler(task, still);
    }
}

void cell_coordinator::move_straggler(task_work& task, bool still) {
    worker_work& worker = *task.where;
    const instant now = with_.time.now();
    log_event(log_level::warn, "straggler_moved",
              {{"task", to_string(name_of(task))},
               {"worker", worker.listing.id.str()},
               {"percent", std::int64_t{task.run.percent}},
               {"worked_ms", static_cast<std::int64_t>(task.run.worked.count() / 1000)},
               {"stands_still", still}});
    ++counts_.stragglers;
    ++task.moves;
    std::rotate(task.failed_on.begin(), task.failed_on.end() - 1, task.failed_on.end());
    task.failed_on.front() = worker.listing.id;
    const auto resting = static_cast<std::size_t>(std::ranges::count_if(
        workers_, [now](const auto& entry) { return entry.second->rest_until > now; }));
    if (resting * most_resting_share < workers_.size())
        worker.rest_until = std::max(worker.rest_until, now + rest_after_straggler);
    request_stop(task);
}

} // namespace figwinch
