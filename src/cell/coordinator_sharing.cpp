#include "cell/cell_coordinator.h"
#include "figwinch/observe.h"

#include <absl/strings/str_cat.h>

namespace figwinch {
namespace {

// Maximum CPU utilisation at which slowdowns are learned: above it, tail latencies show the lack of
// CPU rather than the interference between two images.
constexpr double max_learning_utilisation = 0.95;
// A run that stands still for longer has the speed of a throttled start. Longer than the load of
// services usually stays high.
constexpr duration max_pause = std::chrono::seconds(10);

/// Returns whether the run uses CPU. A run that is being stopped works until its end, if it ever
/// started.
bool uses_cpu(const worker_state& worker, const task_run& run) {
    if (run.may_have_ended_unread)
        return false;
    if (run.current_phase == task_run::phase::stopping)
        return run.shown_in_report == worker.report_count;
    return run.current_phase == task_run::phase::running;
}

} // namespace

/// Logs, for analysis of CPU sharing, what each task on a worker requested, used and suffered.
void cell_coordinator::log_sharing(const worker_state& worker) {
    std::string tasks;
    for (const task_state* const task : worker.tasks) {
        const step_spec& spec = *task->step->spec;
        const char* const kind = spec.is_service       ? "lasting"
                                 : spec.is_best_effort ? "filling"
                                                       : "batch";
        absl::StrAppend(&tasks, kind, ":", spec.image, ":", spec.size.cpu_millis, ":",
                        task->run.recent, ":", spec.latency_target.count() / 1000, ":",
                        task->run.percent, ":", task->run.throttle_in_force, " ");
    }
    log_event(log_level::debug, "sharing",
              {{"worker", worker.listing.id.str()},
               {"cpu_millis", worker.listing.capacity.cpu_millis},
               {"tasks", tasks}});
}

/// Describes a best-effort task on a worker. Where other tasks need the CPU, a throttled start
/// stays slow if nobody waits for its job any more.
best_effort_view cell_coordinator::best_effort_view_of(const task_state& task,
                                                       const worker_state& worker) const {
    const std::int64_t requested = task.step->spec->size.cpu_millis;
    best_effort_view view{task.step->image,
                          static_cast<double>(requested) /
                              static_cast<double>(worker.listing.capacity.cpu_millis)};
    view.is_service = task.step->spec->is_service;
    if (task.is_throttled_start || task.run.has_least_speed)
        view.first_throttled_to = throttled_start_percent;
    if (!task.is_throttled_start)
        return view;
    if (task.job->prospect == job_prospect::lost && unthrottled_cpu_left(worker) < 0)
        view.max_percent = throttled_start_percent;
    return view;
}

/// Gives a batch run that has stood still for too long the speed of a throttled start: the services
/// beside it may stay as busy for ever. One run of a worker has it at a time.
void cell_coordinator::give_least_speed(const std::vector<task_state*>& best_effort) const {
    if (std::ranges::any_of(best_effort,
                            [](const task_state* task) { return task->run.has_least_speed; }))
        return;
    const instant now = deps_.time.now();
    task_state* longest = nullptr;
    for (task_state* const task : best_effort) {
        const std::optional<instant>& since = task->run.paused_since;
        if (task->step->spec->is_service || !since || now - *since < max_pause)
            continue;
        if (longest == nullptr || *since < *longest->run.paused_since)
            longest = task;
    }
    if (longest != nullptr)
        longest->run.has_least_speed = true;
}

void cell_coordinator::update_throttles(worker_state& worker) {
    std::vector<serving_view> serving;
    std::vector<best_effort_view> filling;
    std::vector<task_state*> filling_tasks;
    for (task_state* const task : worker.tasks) {
        const step_spec& spec = *task->step->spec;
        if (!uses_cpu(worker, task->run))
            continue;
        if (spec.is_best_effort) {
            filling_tasks.push_back(task);
        } else if (spec.latency_target > duration::zero() && task->run.recent > 0) {
            const double tail_us = static_cast<double>(task->run.recent) * 1000.0;
            serving.push_back({task->step->image,
                               tail_us / static_cast<double>(spec.latency_target.count()),
                               &task->run.load, &task->run.tail});
        }
    }
    if (current_log_level() == log_level::debug)
        log_sharing(worker);
    learn_slowdowns(worker, serving);
    give_least_speed(filling_tasks);
    filling.reserve(filling_tasks.size());
    for (const task_state* const task : filling_tasks)
        filling.push_back(best_effort_view_of(*task, worker));
    const instant now = deps_.time.now();
    worker.sharing.decide(slowdowns_, serving, filling, now);
    for (std::size_t index = 0; index < filling.size(); ++index) {
        task_run& run = filling_tasks[index]->run;
        run.throttle_wanted = filling[index].speed_percent;
        if (run.throttle_wanted > 0)
            run.paused_since.reset();
        else if (!run.paused_since)
            run.paused_since = now;
        send_throttle(*filling_tasks[index]);
    }
}

void cell_coordinator::learn_slowdowns(const worker_state& worker,
                                       const std::vector<serving_view>& serving) {
    const auto cores = static_cast<double>(worker.listing.capacity.cpu_millis);
    std::vector<image_share> beside;
    double busy = static_cast<double>(worker.service_cpu) * service_cpu_utilisation / cores;
    for (const task_state* const task : worker.tasks) {
        if (task->step->spec->is_service)
            continue;
        const double share = static_cast<double>(task->run.recent) / cores;
        busy += share;
        if (task->step->spec->is_best_effort)
            beside.push_back({task->step->image, share});
    }
    // If the CPU is short, tail latencies say nothing about the interference between two images.
    if (busy > max_learning_utilisation)
        return;
    for (const serving_view& served : serving)
        slowdowns_.learn(served.image, served.tail_ratio, beside, *served.load, deps_.time.now());
}

} // namespace figwinch
