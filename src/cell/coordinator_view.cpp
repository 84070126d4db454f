#include "figwinch/cell/coordinator_view.h"

#include "cell/cell_coordinator.h"
#include "cell/crash_history.h"
#include "cell/job_estimate.h"
#include "figwinch/observe.h"

#include <algorithm>
#include <array>

namespace figwinch {
namespace {

// Maximum number of jobs in a view, which is for status pages: a few screens.
constexpr std::size_t max_jobs_shown = 200;

// Service tasks without a run for longer than this are logged, in one line per period.
constexpr duration min_logged_wait = std::chrono::seconds(2);
constexpr duration waiting_log_period = std::chrono::seconds(1);

} // namespace

std::string_view to_string(worker_status status) {
    static constexpr std::array names = {"usable",    "unlisted", "leaving", "data_centre_out",
                                         "not_heard", "silent",   "resting"};
    return names[static_cast<std::size_t>(status)];
}

std::string_view to_string(wait_reason wait) {
    static constexpr std::array names = {
        "none",        "earlier_steps", "earlier_reign", "pause_after_failure",
        "crash_trial", "no_worker",     "no_label",      "no_room",
        "advice"};
    return names[static_cast<std::size_t>(wait)];
}

coordinator_view cell_coordinator::view() const {
    coordinator_view shown;
    const instant now = deps_.time.now();
    for (const auto& [id, worker] : workers_)
        shown.workers.push_back({id, worker->listing.data_centre, status_of(*worker),
                                 worker->tasks.size(),
                                 worker->listing.capacity - worker->allocated});
    std::vector<const job_state*> in_order(open_jobs_.begin(), open_jobs_.end());
    std::ranges::sort(in_order, [](const job_state* one, const job_state* other) {
        return is_served_before(*one, *other);
    });
    for (const job_state* const job : in_order) {
        if (shown.jobs.size() == max_jobs_shown) {
            shown.jobs_left_out = open_jobs_.size() - max_jobs_shown;
            break;
        }
        job_view& row = shown.jobs.emplace_back();
        row.id = job->id;
        row.queue = job->spec->queue;
        row.priority = job->priority;
        row.age = now - job->submitted_at;
        count_tasks(*job, row);
        row.waits_for = row.waiting == 0 ? wait_reason::none : wait_reason_of(*job);
    }
    return shown;
}

void cell_coordinator::count_tasks(const job_state& job, job_view& row) {
    for (const auto& [number, occurrence] : job.occurrences) {
        for (const step_state& step : occurrence->steps) {
            for (const task_state& task : step.tasks) {
                row.running += task.assigned_worker != nullptr ? 1 : 0;
                row.waiting += task.assigned_worker == nullptr && !task.progress.done ? 1 : 0;
            }
        }
    }
}

void cell_coordinator::log_waiting_service_tasks() {
    const instant now = deps_.time.now();
    if (now < next_waiting_log_)
        return;
    next_waiting_log_ = now + waiting_log_period;
    const task_state* longest = nullptr;
    std::int64_t waiting = 0;
    for (const job_state* const job : open_jobs_)
        for (const auto& [number, occurrence] : job->occurrences)
            for (const step_state& step : occurrence->steps)
                if (step.spec->is_service && step.ready)
                    waiting += count_long_waiting(step, longest);
    if (longest == nullptr)
        return;
    const duration down = now - longest->down_since;
    log_event(log_level::warn, "lasting_tasks_wait",
              {{"tasks", waiting},
               {"longest", to_string(name_of(*longest))},
               {"down_ms", static_cast<std::int64_t>(down.count() / 1000)},
               {"waits_for", std::string(to_string(wait_reason_of(*longest->job, *longest)))}});
}

/// Counts the step's tasks that have had no run for long enough to be logged. Sets `longest` to the
/// one that has waited longest, if it has waited longer than the previous value.
std::int64_t cell_coordinator::count_long_waiting(const step_state& step,
                                                  const task_state*& longest) const {
    const instant now = deps_.time.now();
    std::int64_t waiting = 0;
    for (const task_state& task : step.tasks) {
        if (task.assigned_worker != nullptr || now - task.down_since < min_logged_wait)
            continue;
        ++waiting;
        if (longest == nullptr || task.down_since < longest->down_since)
            longest = &task;
    }
    return waiting;
}

/// Checks the conditions of `is_usable` one by one to tell which fails.
worker_status cell_coordinator::status_of(const worker_state& worker) const {
    const instant now = deps_.time.now();
    if (!worker.listed)
        return worker_status::unlisted;
    if (worker.listing.leaving)
        return worker_status::leaving;
    if (evacuated_.contains(worker.listing.data_centre))
        return worker_status::data_centre_out;
    if (!worker.reported_this_term)
        return worker_status::not_heard;
    if (worker.unresponsive || now - worker.reported_at >= max_report_age)
        return worker_status::silent;
    if (now < worker.quarantined_until || !worker.registered)
        return worker_status::resting;
    return worker_status::usable;
}

wait_reason cell_coordinator::wait_reason_of(const job_state& job) const {
    for (const auto& [number, occurrence] : job.occurrences)
        for (const step_state& step : occurrence->steps)
            for (const task_state& task : step.tasks)
                if (step.ready && task.assigned_worker == nullptr && !task.progress.done)
                    return wait_reason_of(job, task);
    return wait_reason::earlier_steps;
}

/// Returns why a task of a ready step has no worker.
wait_reason cell_coordinator::wait_reason_of(const job_state& job, const task_state& task) const {
    if (!may_start(task))
        return wait_reason::earlier_reign;
    if (deps_.time.now() < task.not_before)
        return wait_reason::pause_after_failure;
    if (is_crash_suspect(crash_record_of(task)) || trial_to_wait_for(*task.step) != nullptr)
        return wait_reason::crash_trial;
    const std::string& label = task.step->spec->label;
    wait_reason furthest = wait_reason::no_worker;
    for (const auto& [id, worker] : workers_) {
        if (!is_usable(*worker, job))
            continue;
        wait_reason here = wait_reason::no_room;
        if (!label.empty() && std::ranges::count(worker->listing.labels, label) == 0)
            here = wait_reason::no_label;
        else if (admits(*worker, *task.step) && !is_advised(*worker, job, *task.step))
            here = wait_reason::advice;
        furthest = std::max(furthest, here);
    }
    return furthest;
}

} // namespace figwinch
