#include "cell/cell_coordinator.h"
#include "figwinch/observe.h"

#include <absl/strings/str_cat.h>

namespace figwinch {
namespace {

// Busier than that the tails say nothing about the pairs: processors are short.
constexpr double learn_below = 0.95;

/// A run that is being stopped works on until its end, if it ever began.
bool is_at_work(const worker_work& worker, const task_run& run) {
    if (run.now == task_run::phase::stopping)
        return run.shown_in == worker.reports;
    return run.now == task_run::phase::running;
}

} // namespace

/// For studies of sharing: what every task on a worker asked for, did and suffered.
void cell_coordinator::log_sharing(const worker_work& worker) {
    std::string tasks;
    for (const task_work* const task : worker.tasks) {
        const step_spec& spec = *task->step->spec;
        const char* const kind = spec.is_service       ? "lasting"
                                 : spec.is_best_effort ? "filling"
                                                       : "batch";
        absl::StrAppend(&tasks, kind, ":", spec.image, ":", spec.size.cpu_millis, ":",
                        task->run.recent, ":", spec.latency_target.count() / 1000, ":",
                        task->run.percent, ":", task->run.pace_set, " ");
    }
    log_event(log_level::debug, "sharing",
              {{"worker", worker.listing.id.str()},
               {"cpu_millis", worker.listing.capacity.cpu_millis},
               {"tasks", tasks}});
}

void cell_coordinator::share_processors(worker_work& worker) {
    const auto cores = static_cast<double>(worker.listing.capacity.cpu_millis);
    std::vector<serving_view> serving;
    std::vector<best_effort_view> filling;
    std::vector<task_work*> filling_tasks;
    for (task_work* const task : worker.tasks) {
        const step_spec& spec = *task->step->spec;
        if (!is_at_work(worker, task->run))
            continue;
        if (spec.is_best_effort) {
            filling.push_back(
                {task->step->image, static_cast<double>(spec.size.cpu_millis) / cores});
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
    worker.sharing.decide(slowdowns_, serving, filling, with_.time.now());
    for (std::size_t index = 0; index < filling.size(); ++index) {
        filling_tasks[index]->run.pace_wanted = filling[index].speed_percent;
        send_pace(*filling_tasks[index]);
    }
}

void cell_coordinator::learn_slowdowns(const worker_work& worker,
                                       const std::vector<serving_view>& serving) {
    const auto cores = static_cast<double>(worker.listing.capacity.cpu_millis);
    std::vector<image_share> beside;
    double busy = static_cast<double>(worker.lasting_cpu) * lasting_use / cores;
    for (const task_work* const task : worker.tasks) {
        if (task->step->spec->is_service)
            continue;
        const double share = static_cast<double>(task->run.recent) / cores;
        busy += share;
        if (task->step->spec->is_best_effort)
            beside.push_back({task->step->image, share});
    }
    // Where processors are short the tails say nothing about the pair.
    if (busy > learn_below)
        return;
    for (const serving_view& served : serving)
        slowdowns_.learn(served.image, served.tail_ratio, beside, *served.load, with_.time.now());
}

} // namespace figwinch
