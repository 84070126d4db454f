#include "cell/cell_coordinator.h"
#include "cell/crash_history.h"
#include "figwinch/observe.h"

#include <algorithm>
#include <array>

namespace figwinch {
namespace {

// Workers that are lost within this time of each other may have a common cause, such as power.
constexpr duration common_loss_window = std::chrono::seconds(1);
// A loss of this many workers, and of this share of a cell, at the same time has a common cause.
constexpr std::size_t min_common_losses = 3;
constexpr std::size_t common_loss_share = 8;
// A worker that is lost this soon after a run started was probably crashed by it.
constexpr duration crash_at_start_window = std::chrono::milliseconds(500);

const char* name_of_suspicion(crash_suspicion suspicion) {
    static constexpr std::array names = {"weak", "shared", "sole", "unseen"};
    return names[static_cast<std::size_t>(suspicion)];
}

} // namespace

/// Returns the progress that records the crashes of a task. A gang's members start and end
/// together, so that its crashes are recorded with its first member.
task_progress& cell_coordinator::crash_record_of(task_state& task) {
    return task.step->spec->gang ? task.step->tasks.front().progress : task.progress;
}

const task_progress& cell_coordinator::crash_record_of(const task_state& task) {
    return task.step->spec->gang ? task.step->tasks.front().progress : task.progress;
}

/// Returns the other workers that were lost at the same time as this one. Those on which a trial
/// had just started are left out: suspects may be started at the same moment.
std::vector<const worker_state*>
cell_coordinator::lost_together_with(const worker_state& worker) const {
    std::vector<const worker_state*> found;
    for (const auto& [id, other] : workers_)
        if (other.get() != &worker && other->lost_at != instant() && !other->lost_at_trial_start &&
            std::chrono::abs(other->lost_at - worker.lost_at) < common_loss_window)
            found.push_back(other.get());
    return found;
}

/// Whether so many workers were lost together that the run is not to blame. Those that had just
/// started a run of the same step do not count: it probably does the same.
bool cell_coordinator::is_common_loss(const std::vector<const worker_state*>& lost_together,
                                      const lost_run& lost) const {
    const auto is_same_step = [&lost](const lost_run& other) {
        return other.task.job == lost.task.job && other.task.step == lost.task.step &&
               other.age < min_probation;
    };
    const std::size_t limit = std::max(min_common_losses, workers_.size() / common_loss_share);
    std::size_t unrelated = 0;
    for (const worker_state* const other : lost_together) {
        unrelated += std::ranges::none_of(other->lost_runs, is_same_step) ? 1 : 0;
        if (unrelated >= limit)
            return true;
    }
    return false;
}

/// Notes when a worker stopped answering, to compare it with the losses of others.
void cell_coordinator::mark_lost(worker_state& worker) {
    const instant now = deps_.time.now();
    worker.lost_at = now;
    worker.lost_at_trial_start = now - worker.trial_started_at < crash_at_start_window;
}

/// Collects the runs that may have crashed a lost worker. Called before its tasks are released.
void cell_coordinator::collect_lost_runs(worker_state& worker) {
    if (std::exchange(worker.lost_runs_collected, true))
        return;
    for (const task_state* const task : worker.tasks) {
        const std::optional<duration> age = age_at_loss(*task);
        if (!age || *age >= crash_free_run_time)
            continue;
        const lost_run lost{name_of(*task), task->run.number, *age, suspicion_of(*task, *age)};
        const bool is_trial = crash_record_of(*task).trial_run == lost.run;
        if (is_trial && lost.suspicion == crash_suspicion::sole) {
            // A second crash of a suspect explains the loss: the others only ran beside it.
            worker.lost_runs = {lost};
            end_other_trials(worker, *task);
            return;
        }
        worker.lost_runs.push_back(lost);
    }
}

/// Ends the trials of the worker's tasks but one, which is to blame for the loss.
void cell_coordinator::end_other_trials(const worker_state& worker, const task_state& blamed) {
    for (task_state* const task : worker.tasks)
        if (task != &blamed && &crash_record_of(*task) != &crash_record_of(blamed))
            end_trial(*task, task->run.number);
}

/// Returns how long a run had been on its worker when the worker was lost; nothing if the run
/// cannot have started, or had ended.
std::optional<duration> cell_coordinator::age_at_loss(const task_state& task) {
    if (task.run.name.empty() || task.run.may_have_ended_unread)
        return std::nullopt;
    const instant lost_at = task.assigned_worker->lost_at;
    return std::max(duration::zero(), lost_at - task.run.ordered_at);
}

/// Judges how strongly the loss of its worker speaks against a run.
crash_suspicion cell_coordinator::suspicion_of(const task_state& task, duration age) {
    const task_progress& record = crash_record_of(task);
    const bool is_trial = record.trial_run == task.run.number;
    if (age >= (is_trial ? expected_crash_time(record) : min_probation))
        return crash_suspicion::weak;
    if (!task.run.has_started)
        return crash_suspicion::unseen;
    const duration window = std::max(age, is_trial ? probation_of(record) : min_probation);
    const auto& beside = task.assigned_worker->tasks;
    const bool shared = std::ranges::any_of(beside, [&](const task_state* other) {
        const bool same_gang = other->step == task.step && other->step->spec->gang;
        const std::optional<duration> other_age = age_at_loss(*other);
        return other != &task && !same_gang && other_age && *other_age < window;
    });
    return shared ? crash_suspicion::shared : crash_suspicion::sole;
}

/// Records the lost runs of a worker as crashes. `confirmed`: its process has ended.
void cell_coordinator::record_crash(worker_state& worker, bool confirmed) {
    collect_lost_runs(worker);
    // A worker that leaves ends what it runs.
    if (worker.listing.leaving)
        return;
    if (confirmed)
        note_crashed_address(worker.listing.address);
    const std::vector<const worker_state*> lost_together = lost_together_with(worker);
    for (lost_run& lost : worker.lost_runs) {
        const bool common = is_common_loss(lost_together, lost);
        // Workers that are all out of reach have probably not crashed, or that will be confirmed.
        // Even then only tasks that had just started may all have crashed them.
        task_state* const task = find_task(lost.task);
        const bool had_just_started = lost.age < crash_at_start_window;
        if (task == nullptr || (common && !confirmed && had_just_started))
            continue;
        if (common && !had_just_started) {
            end_trial(*task, lost.run);
            continue;
        }
        if (common)
            lost.suspicion = crash_suspicion::weak;
        record_crashed_run(*task, worker, lost, confirmed);
    }
}

void cell_coordinator::record_crashed_run(task_state& task, const worker_state& worker,
                                          const lost_run& lost, bool confirmed) {
    task_progress& record = crash_record_of(task);
    if (task.job->phase != job_phase::open || record.done ||
        !add_crash(record, {lost.run, lost.age, lost.suspicion, confirmed}))
        return;
    if (record.trial_run == lost.run)
        record.trial_run = {};
    mark_dirty(*task.job);
    log_event(log_level::info, "run_crashed",
              {{"task", to_string(lost.task)},
               {"run", static_cast<std::int64_t>(lost.run.value())},
               {"worker", worker.listing.id.str()},
               {"age_ms", lost.age / std::chrono::milliseconds(1)},
               {"suspicion", std::string(name_of_suspicion(lost.suspicion))},
               {"confirmed", confirmed}});
    give_up_if_due(task);
}

/// Weakens the losses of a worker that was back only after its lease: its runs had ended by then,
/// if they had started at all, so its process may have ended without any.
void cell_coordinator::weaken_late_losses(worker_state& worker, instant back_at) const {
    const auto clock_ms = worker.clock.lower_bound(back_at);
    if (!clock_ms || *clock_ms < worker.latest_lease_expiry_ms)
        return;
    std::erase_if(worker.lost_runs,
                  [](const lost_run& lost) { return lost.suspicion == crash_suspicion::unseen; });
    for (lost_run& lost : worker.lost_runs)
        if (lost.suspicion == crash_suspicion::sole)
            lost.suspicion = crash_suspicion::shared;
}

/// The worker answers again in the same incarnation: it had not crashed.
void cell_coordinator::withdraw_lost_runs(worker_state& worker) {
    for (const lost_run& lost : std::exchange(worker.lost_runs, {}))
        if (task_state* const task = find_task(lost.task))
            clear_of_crash(*task, lost.run);
    worker.lost_runs_collected = false;
    worker.lost_at_trial_start = false;
    worker.lost_at = {};
}

/// The run's worker reported it or its end: the run did not crash the worker.
void cell_coordinator::clear_of_crash(task_state& task, run_number run) {
    if (withdraw_crash(crash_record_of(task), run))
        mark_dirty(*task.job);
}

/// Clears a task whose run has lasted.
void cell_coordinator::clear_if_lasting(task_state& task) {
    task_progress& record = crash_record_of(task);
    if ((record.crashed_runs.empty() && record.trial_run.is_none()) ||
        deps_.time.now() - task.run.ordered_at < time_to_clear(record))
        return;
    record.crashed_runs.clear();
    record.trial_run = {};
    mark_dirty(*task.job);
}

/// The outcome of a trial is known, or no run of it exists.
void cell_coordinator::end_trial(task_state& task, run_number run) {
    task_progress& record = crash_record_of(task);
    if (record.trial_run != run)
        return;
    record.trial_run = {};
    mark_dirty(*task.job);
}

/// Fails the job of a task that must not be started again. Returns whether it did.
bool cell_coordinator::give_up_if_due(task_state& task) {
    const task_progress& record = crash_record_of(task);
    if (!must_give_up(record) || task.job->phase != job_phase::open)
        return false;
    log_event(log_level::warn, "task_given_up",
              {{"task", to_string(name_of(task))},
               {"why", "crashes its workers"},
               {"crashes", static_cast<std::int64_t>(record.crashed_runs.size())}});
    end_job(*task.job, job_phase::failed);
    return true;
}

/// Fails a job that an earlier leadership term recorded as one to give up, but not as failed.
void cell_coordinator::give_up_recorded(job_state& job) {
    for (const auto& [number, occurrence] : job.occurrences)
        for (step_state& step : occurrence->steps)
            for (task_state& task : step.tasks)
                if (give_up_if_due(task))
                    return;
}

} // namespace figwinch
