#include "cell/cell_coordinator.h"
#include "figwinch/observe.h"

#include <algorithm>

namespace figwinch {
namespace {

// A gang whose members could not all be started waits before the next try, twice as long after each
// failure. The longest wait leaves several tries within the time in which a service must be back.
constexpr duration first_gang_backoff = std::chrono::milliseconds(100);
constexpr duration max_gang_backoff = std::chrono::milliseconds(1000);

} // namespace

/// Handles a start order that was dropped unsent, which says nothing about the worker. A member of
/// a gang is ordered again, since the other members may already wait for it.
void cell_coordinator::handle_dropped_start(task_state& task, worker_state& worker) {
    ++counts_.starts_dropped;
    if (may_order_again(task, worker))
        return order_start(task);
    handle_refused_start(task, worker, to_string(order_outcome::dropped), duration::zero());
}

/// Whether a gang's member can still start before the others give up waiting for it.
bool cell_coordinator::may_order_again(const task_state& task, const worker_state& worker) const {
    if (!task.step->spec->gang || task.run.current_phase != task_run::phase::starting ||
        !has_current_notices() || !is_usable(worker, *task.job) || !is_within_capacity(worker))
        return false;
    const instant now = deps_.time.now();
    instant first_start = now;
    for (const task_state& member : task.step->tasks)
        if (member.assigned_worker != nullptr && member.run.number == task.run.number &&
            member.run.has_started)
            first_start = std::min(first_start, member.run.ordered_at);
    return now - first_start < settings_.gang_start_window - start_validity;
}

/// Stops a run of a gang, one member of which could not be started.
void cell_coordinator::stop_gang(step_state& step, run_number run, std::string_view why) {
    record_gang_failure(step, run, why);
    for (task_state& member : step.tasks)
        if (member.assigned_worker != nullptr)
            request_stop(member);
}

void cell_coordinator::record_gang_failure(step_state& step, run_number run, std::string_view why) {
    if (std::exchange(step.failed_gang_run, run) == run)
        return;
    ++counts_.gang_failures;
    const std::uint32_t doublings = std::min<std::uint32_t>(step.gang_failures++, 8);
    const duration backoff = std::min(max_gang_backoff, first_gang_backoff * (1 << doublings));
    task_state& first = step.tasks.front();
    first.not_before = std::max(first.not_before, deps_.time.now() + backoff);
    log_event(log_level::warn, "gang_start_failed",
              {{"task", to_string(name_of(first))},
               {"run", static_cast<std::int64_t>(run.value())},
               {"members", static_cast<std::int64_t>(step.tasks.size())},
               {"why", std::string(why)},
               {"failures", static_cast<std::int64_t>(step.gang_failures)},
               {"next_try_ms", backoff / std::chrono::milliseconds(1)}});
}

/// All members of the gang have started.
void cell_coordinator::clear_gang_failures(step_state& step) {
    if (step.gang_failures == 0)
        return;
    const bool complete = std::ranges::all_of(step.tasks, [](const task_state& member) {
        return member.assigned_worker != nullptr && member.run.has_started;
    });
    if (complete)
        step.gang_failures = 0;
}

} // namespace figwinch
