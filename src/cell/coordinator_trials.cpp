#include "cell/cell_coordinator.h"
#include "cell/crash_history.h"
#include "figwinch/observe.h"

#include <algorithm>
#include <functional>

namespace figwinch {
namespace {

// A worker that is kept free of new starts for a trial is released after this time beyond the
// trial's probation if the trial was not started.
constexpr duration hold_slack = std::chrono::milliseconds(500);
// A service task may be down for three seconds longer than its worker's lease lasts.
constexpr duration max_trial_wait = std::chrono::milliseconds(1500);
// Beside a trial it may crash with its worker, and more crashes are needed to give the suspect up.
constexpr duration max_wait_beside_trials = std::chrono::milliseconds(2000);
// Share of the workers that may be kept free of new starts for trials at the same time.
constexpr std::size_t min_held = 2;
constexpr std::size_t max_held_share = 8;
// A trial prefers workers at whose address no worker crashed within this time: one that keeps
// crashing by itself would convict the task.
constexpr duration recent_crash_window = std::chrono::seconds(15);

} // namespace

/// Starts a trial of a suspect, on a worker where no other run started just before and none will
/// until the trial is over. It waits for such a worker, and for the log: a start that is not
/// recorded would not count for a successor.
void cell_coordinator::start_trial(job_state& job, task_state& task) {
    if (task.not_ordered)
        task.progress.trial_run = {};
    settle_earlier_trial(task.progress);
    settle_earlier_crashes(task.progress, run_base());
    if (give_up_if_due(task) || !log_confirms())
        return;
    const candidates all = search(job, *task.step, rack_id());
    const candidates found = trial_candidates(all);
    worker_state* worker = best_trial_worker(found, task);
    if (worker == nullptr && has_waited_for_trial(task))
        worker = best_candidate(without_trials(all), task);
    if (worker == nullptr)
        return hold_for_trial(found, task);
    start(task, *worker, next_run(), task.progress.checkpoint);
}

worker_state* cell_coordinator::best_trial_worker(const candidates& found,
                                                  const task_state& task) const {
    candidates quiet;
    for (const candidate& one : found)
        if (is_quiet_for(*one.worker, task))
            quiet.push_back(one);
    return best_candidate(quiet, task);
}

/// Whether a service task has waited for a quiet worker for so long that it is started beside
/// others. It is late by the time that it waits, and so many tasks may be suspects that there are
/// not enough quiet workers; more crashes are then needed to give a suspect up.
bool cell_coordinator::has_waited_for_trial(const task_state& task) const {
    return task.step->spec->is_service && deps_.time.now() - task.down_since >= max_trial_wait;
}

/// Returns the workers for a trial: those without another trial whose address had no crash
/// recently, if there are any.
cell_coordinator::candidates cell_coordinator::trial_candidates(candidates found) const {
    const instant now = deps_.time.now();
    const auto stable = [&](const candidate& one) {
        return !crashed_recently(*one.worker) && now >= one.worker->trial_until;
    };
    if (std::ranges::any_of(found, stable))
        std::erase_if(found, std::not_fn(stable));
    return found;
}

void cell_coordinator::note_crashed_address(const endpoint& address) {
    const instant now = deps_.time.now();
    std::erase_if(last_crashes_,
                  [now](const auto& crash) { return now - crash.second >= recent_crash_window; });
    last_crashes_[address] = now;
}

bool cell_coordinator::crashed_recently(const worker_state& worker) const {
    const auto crash = last_crashes_.find(worker.listing.address);
    return crash != last_crashes_.end() && deps_.time.now() - crash->second < recent_crash_window;
}

/// Whether no other run has started on the worker just now, and it has no other trial.
bool cell_coordinator::is_quiet_for(const worker_state& worker, const task_state& task) const {
    const instant now = deps_.time.now();
    if (now < worker.trial_until)
        return false;
    const duration window = probation_of(crash_record_of(task));
    return std::ranges::none_of(worker.tasks, [&](const task_state* other) {
        const bool same_gang = other->step == task.step && other->step->spec->gang;
        const bool is_new = other->run.name.empty() || now - other->run.ordered_at < window;
        return !same_gang && is_new;
    });
}

/// Keeps the best worker free of new starts, so that it can take the trial when the youngest run
/// there is old enough.
void cell_coordinator::hold_for_trial(const candidates& found, const task_state& task) {
    const instant now = deps_.time.now();
    const auto held = std::ranges::count_if(
        workers_, [now](const auto& entry) { return now < entry.second->held_until; });
    if (static_cast<std::size_t>(held) >= std::max(min_held, workers_.size() / max_held_share))
        return;
    candidates free;
    for (const candidate& one : found)
        if (!is_kept_for_trial(*one.worker))
            free.push_back(one);
    if (worker_state* const worker = best_candidate(free, task))
        worker->held_until = now + probation_of(crash_record_of(task)) + hold_slack;
}

/// Whether the worker takes no starts but trials for now.
bool cell_coordinator::is_kept_for_trial(const worker_state& worker) const {
    const instant now = deps_.time.now();
    return now < worker.held_until || now < worker.trial_until;
}

/// Marks the run that is about to be started as a trial, for successors and for the worker.
void cell_coordinator::record_trial(task_state& task, worker_state& worker) {
    task_progress& record = crash_record_of(task);
    record.trial_run = task.run.number;
    worker.held_until = {};
    worker.trial_started_at = deps_.time.now();
    worker.trial_until = deps_.time.now() + probation_of(record) + order_delivery_time;
    mark_dirty(*task.job);
    log_event(log_level::info, "trial_started",
              {{"task", to_string(name_of(task))},
               {"run", static_cast<std::int64_t>(task.run.number.value())},
               {"worker", worker.listing.id.str()},
               {"crashes", static_cast<std::int64_t>(record.crashed_runs.size())}});
}

cell_coordinator::candidates cell_coordinator::without_trials(candidates found) const {
    const instant now = deps_.time.now();
    std::erase_if(found, [now](const candidate& one) { return now < one.worker->trial_until; });
    return found;
}

cell_coordinator::candidates cell_coordinator::without_kept_workers(candidates found) const {
    std::erase_if(found, [this](const candidate& one) { return is_kept_for_trial(*one.worker); });
    return found;
}

/// Returns a worker that is kept for trials, for a service task that has waited too
/// long for any other: one whose trial hasn't begun, and at last any. Null if the task can wait.
worker_state* cell_coordinator::choose_kept_worker(const job_state& job, const task_state& task) {
    if (!has_waited_for_trial(task))
        return nullptr;
    const candidates all = search(job, *task.step, rack_id());
    if (worker_state* const worker = best_candidate(without_trials(all), task))
        return worker;
    const bool is_urgent = deps_.time.now() - task.down_since >= max_wait_beside_trials;
    return is_urgent ? best_candidate(all, task) : nullptr;
}

/// Returns the suspect of the step whose trial the other tasks wait for, since they probably do the
/// same: one that has just begun a trial, or was alone when its worker was lost. Null if there is
/// none. Service tasks are late by the time that they wait, so they wait only if two of them were.
const task_state* cell_coordinator::trial_to_wait_for(const step_state& step) const {
    const instant now = deps_.time.now();
    const task_state* alone = nullptr;
    std::size_t sole_crashes = 0;
    for (const task_state& task : step.tasks) {
        if (task.progress.done || task.progress.crashed_runs.empty())
            continue;
        const bool runs = task.assigned_worker != nullptr;
        const bool is_young = now - task.run.ordered_at < probation_of(task.progress);
        const bool is_trial = task.progress.trial_run == task.run.number;
        if (runs && is_trial && !step.spec->is_service && (is_young || task.run.name.empty()))
            return &task;
        if (!has_sole_crash(task.progress))
            continue;
        ++sole_crashes;
        if (alone == nullptr && (!runs || is_young))
            alone = &task;
    }
    return sole_crashes >= (step.spec->is_service ? 2 : 1) ? alone : nullptr;
}

} // namespace figwinch
