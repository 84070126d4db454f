#include "figwinch/cell/coordinator_view.h"

#include "cell/cell_coordinator.h"
#include "figwinch/observe.h"

#include <algorithm>
#include <array>

namespace figwinch {
namespace {

// A page for people, not a dump: some screens full.
constexpr std::size_t most_jobs_shown = 200;

// A task that is to last and has no run for longer is told of, a line a period for all of them.
constexpr duration lasting_wait_told = std::chrono::seconds(2);
constexpr duration lasting_waits_period = std::chrono::seconds(1);

} // namespace

std::string_view to_string(worker_standing standing) {
    static constexpr std::array names = {"usable",    "unlisted", "leaving", "data_centre_out",
                                         "not_heard", "silent",   "resting"};
    return names[static_cast<std::size_t>(standing)];
}

std::string_view to_string(job_wait wait) {
    static constexpr std::array names = {
        "none",      "earlier_steps", "earlier_reign", "pause_after_failure",
        "no_worker", "no_label",      "no_room",       "advice"};
    return names[static_cast<std::size_t>(wait)];
}

coordinator_view cell_coordinator::view() const {
    coordinator_view shown;
    const instant now = with_.time.now();
    for (const auto& [id, worker] : workers_)
        shown.workers.push_back({id, worker->listing.data_centre, standing_of(*worker),
                                 worker->tasks.size(), worker->listing.capacity - worker->taken});
    for (const job_work* const job : order_) {
        if (shown.jobs.size() == most_jobs_shown) {
            shown.jobs_left_out = order_.size() - most_jobs_shown;
            break;
        }
        job_view& row = shown.jobs.emplace_back();
        row.id = job->id;
        row.queue = job->spec->queue;
        row.priority = job->priority;
        row.known_for = now - job->came_at;
        count_tasks(*job, row);
        row.waits_for = row.waiting == 0 ? job_wait::none : wait_of(*job);
    }
    return shown;
}

void cell_coordinator::count_tasks(const job_work& job, job_view& row) {
    for (const auto& [number, occurrence] : job.occurrences) {
        for (const step_work& step : occurrence->steps) {
            for (const task_work& task : step.tasks) {
                row.running += task.where != nullptr ? 1 : 0;
                row.waiting += task.where == nullptr && !task.progress.done ? 1 : 0;
            }
        }
    }
}

void cell_coordinator::log_lasting_waits() {
    const instant now = with_.time.now();
    if (now < next_lasting_waits_)
        return;
    next_lasting_waits_ = now + lasting_waits_period;
    const task_work* longest = nullptr;
    std::int64_t waiting = 0;
    for (const job_work* const job : order_)
        for (const auto& [number, occurrence] : job->occurrences)
            for (const step_work& step : occurrence->steps)
                if (step.spec->is_service && step.ready)
                    waiting += count_down(step, longest);
    if (longest == nullptr)
        return;
    const duration down = now - longest->down_since;
    log_event(log_level::warn, "lasting_tasks_wait",
              {{"tasks", waiting},
               {"longest", to_string(name_of(*longest))},
               {"down_ms", static_cast<std::int64_t>(down.count() / 1000)},
               {"waits_for", std::string(to_string(wait_of(*longest->job, *longest)))}});
}

/// How many tasks of a step have had no run for long; `longest` becomes the one that waits longest,
/// of these and the one that it was.
std::int64_t cell_coordinator::count_down(const step_work& step, const task_work*& longest) const {
    const instant now = with_.time.now();
    std::int64_t waiting = 0;
    for (const task_work& task : step.tasks) {
        if (task.where != nullptr || now - task.down_since < lasting_wait_told)
            continue;
        ++waiting;
        if (longest == nullptr || task.down_since < longest->down_since)
            longest = &task;
    }
    return waiting;
}

/// The same conditions as `usable`, told apart.
worker_standing cell_coordinator::standing_of(const worker_work& worker) const {
    const instant now = with_.time.now();
    if (!worker.listed)
        return worker_standing::unlisted;
    if (worker.listing.leaving)
        return worker_standing::leaving;
    if (evacuated_.contains(worker.listing.data_centre))
        return worker_standing::data_centre_out;
    if (!worker.heard)
        return worker_standing::not_heard;
    if (worker.silent || now - worker.reported_at >= reported_within)
        return worker_standing::silent;
    if (now < worker.rest_until || !worker.registered)
        return worker_standing::resting;
    return worker_standing::usable;
}

job_wait cell_coordinator::wait_of(const job_work& job) const {
    for (const auto& [number, occurrence] : job.occurrences)
        for (const step_work& step : occurrence->steps)
            for (const task_work& task : step.tasks)
                if (step.ready && task.where == nullptr && !task.progress.done)
                    return wait_of(job, task);
    return job_wait::earlier_steps;
}

/// Why a task whose turn has come has no worker.
job_wait cell_coordinator::wait_of(const job_work& job, const task_work& task) const {
    if (!may_start(task))
        return job_wait::earlier_reign;
    if (with_.time.now() < task.not_before)
        return job_wait::pause_after_failure;
    const std::string& label = task.step->spec->label;
    job_wait furthest = job_wait::no_worker;
    for (const auto& [id, worker] : workers_) {
        if (!usable(*worker, job))
            continue;
        job_wait here = job_wait::no_room;
        if (!label.empty() && std::ranges::count(worker->listing.labels, label) == 0)
            here = job_wait::no_label;
        else if (admits(*worker, *task.step) && !is_advised(*worker, job, *task.step))
            here = job_wait::advice;
        furthest = std::max(furthest, here);
    }
    return furthest;
}

} // namespace figwinch
