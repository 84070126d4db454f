#include "cell/crash_history.h"

#include <algorithm>

namespace figwinch {
namespace {

// A worker that crashes under a trial may have failed by chance once, hardly twice.
constexpr std::ptrdiff_t sole_crashes_to_give_up = 2;
// A worker that is lost later, or only becomes silent, may as well have crashed by chance or have
// been cut off before it crashed.
constexpr duration max_conclusive_age = std::chrono::milliseconds(500);
// Limits the crashes of a task that was never alone, or whose workers never returned: four when
// each time it had just started.
constexpr int weight_to_give_up = 7;
constexpr std::ptrdiff_t strong_crashes_to_give_up = 5;
constexpr std::ptrdiff_t certain_crashes_to_count_all = 2;
constexpr int weak_weight = 1;
constexpr int strong_weight = 2;
// Runs that crash their workers later than usual are lost with many others. A second such loss
// makes a task a suspect.
constexpr std::size_t weak_crashes_to_suspect = 2;

// Trials keep other starts away from their workers.
constexpr duration max_probation = std::chrono::seconds(4);
constexpr duration min_time_to_clear = std::chrono::seconds(3);

duration longest_age(const task_progress& task) {
    duration longest{};
    for (const crashed_run& crash : task.crashed_runs)
        longest = std::max(longest, crash.age);
    return longest;
}

/// Returns the shortest age of the lost runs; zero if none is known.
duration shortest_age(const task_progress& task) {
    duration shortest{};
    for (const crashed_run& crash : task.crashed_runs)
        if (shortest == duration::zero() || (crash.age > duration::zero() && crash.age < shortest))
            shortest = crash.age;
    return shortest;
}

bool is_unseen(const crashed_run& crash) {
    return crash.suspicion == crash_suspicion::unseen;
}

bool is_strong(const crashed_run& crash) {
    return crash.suspicion != crash_suspicion::weak;
}

/// A run that its worker has shown, and whose worker's process is known to have ended.
bool is_certain(const crashed_run& crash) {
    return is_strong(crash) && crash.confirmed && !is_unseen(crash);
}

/// Weighs the crashes of a task that is taken to crash its workers either before they have answered
/// its start (`unseen`), or after. The other kind of loss, and those of workers that may only be
/// out of reach, speak less for it, unless two workers have certainly ended under the task.
int weight_of(const task_progress& task, bool unseen) {
    const bool all_count =
        std::ranges::count_if(task.crashed_runs, is_certain) >= certain_crashes_to_count_all;
    int weight = 0;
    for (const crashed_run& crash : task.crashed_runs) {
        const bool fits = all_count || (crash.confirmed && is_unseen(crash) == unseen);
        weight += is_strong(crash) && fits ? strong_weight : weak_weight;
    }
    return weight;
}

bool is_conclusive(const crashed_run& crash) {
    return crash.suspicion == crash_suspicion::sole && crash.confirmed &&
           crash.age < max_conclusive_age;
}

} // namespace

bool is_crash_suspect(const task_progress& task) {
    return task.crashed_runs.size() >= weak_crashes_to_suspect ||
           std::ranges::any_of(task.crashed_runs, [](const crashed_run& crash) {
               return crash.suspicion != crash_suspicion::weak;
           });
}

bool has_sole_crash(const task_progress& task) {
    return std::ranges::any_of(task.crashed_runs, [](const crashed_run& crash) {
        return crash.suspicion == crash_suspicion::sole;
    });
}

bool must_give_up(const task_progress& task) {
    return weight_of(task, true) >= weight_to_give_up ||
           weight_of(task, false) >= weight_to_give_up ||
           std::ranges::count_if(task.crashed_runs, is_strong) >= strong_crashes_to_give_up ||
           std::ranges::count_if(task.crashed_runs, is_conclusive) >= sole_crashes_to_give_up;
}

duration probation_of(const task_progress& task) {
    return std::clamp(2 * shortest_age(task), min_probation, max_probation);
}

duration expected_crash_time(const task_progress& task) {
    return std::clamp(2 * longest_age(task), min_probation, crash_free_run_time);
}

duration time_to_clear(const task_progress& task) {
    return std::clamp(2 * longest_age(task), min_time_to_clear, crash_free_run_time);
}

bool add_crash(task_progress& task, const crashed_run& crash) {
    const auto known = std::ranges::find(task.crashed_runs, crash.run, &crashed_run::run);
    if (known == task.crashed_runs.end()) {
        task.crashed_runs.push_back(crash);
        return true;
    }
    const bool confirmed = known->confirmed || crash.confirmed;
    const bool changed = confirmed != known->confirmed || crash.suspicion != known->suspicion;
    known->confirmed = confirmed;
    known->suspicion = crash.suspicion;
    return changed;
}

bool withdraw_crash(task_progress& task, run_number run) {
    return std::erase_if(task.crashed_runs,
                         [run](const crashed_run& crash) { return crash.run == run; }) > 0;
}

void settle_earlier_trial(task_progress& task) {
    if (task.trial_run.is_none())
        return;
    add_crash(task, {task.trial_run, duration::zero(), crash_suspicion::shared, true});
    task.trial_run = {};
}

void settle_earlier_crashes(task_progress& task, run_number first_run) {
    for (crashed_run& crash : task.crashed_runs) {
        if (crash.confirmed || is_unseen(crash) || crash.run.value() >= first_run.value())
            continue;
        crash.confirmed = true;
        if (crash.suspicion == crash_suspicion::sole)
            crash.suspicion = crash_suspicion::shared;
    }
}

} // namespace figwinch
