#include "cell/cell_coordinator.h"
#include "cell/crash_history.h"
#include "figwinch/observe.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace figwinch {
namespace {

// Weights that group latency-critical tasks of one image on a worker, so that other workers are
// left to the best-effort images that slow this image. Worth more than an even spread.
constexpr double other_image_penalty = 1;
constexpr double same_image_bonus = 1;
constexpr double cold_penalty = 1;
constexpr double near_data_bonus = 2;

double share(std::int64_t part, std::int64_t whole) {
    return whole <= 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

/// Starts tasks in three passes. Service tasks that ran before come first: they have to run all the
/// time, so each is late by its downtime, and the resources that they need were theirs. New service
/// tasks come last: a batch task frees its resources in seconds, a service task keeps them.
void cell_coordinator::place_all() {
    const duration elapsed = deps_.time.now() - std::exchange(last_round_at_, deps_.time.now());
    if (!has_current_notices()) {
        placement_due_ = true;
        return;
    }
    ++counts_.placement_rounds;
    update_unresolved_marks();
    failed_searches_.clear();
    start_overdue_jobs();
    const round_limits limits = limits_of_round(elapsed);
    const bool restarts =
        place_in_order(queues_.services(), placement_pass::service_restarts, limits);
    const bool batch = place_batch(limits);
    const bool first_starts =
        place_in_order(queues_.services(), placement_pass::service_first_starts, limits);
    if (restarts && batch && first_starts)
        return;
    ++counts_.rounds_cut_short;
    placement_due_ = true;
}

/// Starts tasks of the job's ready steps that belong to the pass.
void cell_coordinator::place_job(job_state& job, placement_pass pass) {
    const bool services = pass != placement_pass::batch_tasks;
    for (const auto& [number, occurrence] : job.occurrences) {
        for (step_state& step : occurrence->steps) {
            if (job.phase != job_phase::open || step.spec->is_service != services || !step.ready ||
                step.assigned >= step.unfinished)
                continue;
            if (!step.spec->gang)
                place_step(job, step, pass);
            else if (may_start(step.tasks.front()))
                place_gang(job, step);
        }
    }
}

bool cell_coordinator::place_step(job_state& job, step_state& step, placement_pass pass) {
    const instant now = deps_.time.now();
    // Tasks of other steps share one record of workers, so either all of them or none may start.
    const bool per_task = has_record_per_task(*step.spec);
    const bool restarts_only = pass == placement_pass::service_restarts;
    if (!per_task && !may_start(step.tasks.front()))
        return false;
    const bool any_worker = log_confirms();
    const task_state* trial = trial_to_wait_for(step);
    std::optional<candidates> found;
    for (task_state& task : step.tasks) {
        if (task.progress.done || task.assigned_worker != nullptr || now < task.not_before ||
            (per_task && !may_start(task)) ||
            (restarts_only && task.progress.assigned_worker.empty()))
            continue;
        const bool is_suspect = is_crash_suspect(task.progress);
        // A service task that ran before waits for another one's trial only if it is a suspect too.
        if (trial != nullptr && trial != &task &&
            (is_suspect || task.progress.assigned_worker.empty()))
            continue;
        if (is_suspect) {
            start_trial(job, task);
            if (job.phase != job_phase::open)
                return false;
            if (task.assigned_worker != nullptr)
                trial = &task;
            found.reset();
            continue;
        }
        if (any_worker && (!found || found->empty()))
            found = without_kept_workers(search(job, step, rack_id()));
        worker_state* worker =
            any_worker ? best_candidate(*found, task) : choose_recorded(job, task);
        if (worker == nullptr && any_worker)
            worker = choose_kept_worker(job, task);
        if (worker == nullptr) {
            request_advice(job, task);
            return false;
        }
        start(task, *worker, next_run(), task.progress.checkpoint);
        if (any_worker)
            update_score(*found, *worker, step);
    }
    return true;
}

/// Starts all members of a gang under one run number, or none.
bool cell_coordinator::place_gang(job_state& job, step_state& step) {
    task_state& first = step.tasks.front();
    if (step.assigned > 0 || deps_.time.now() < first.not_before)
        return false;
    settle_earlier_trial(first.progress);
    settle_earlier_crashes(first.progress, run_base());
    if (give_up_if_due(first))
        return false;
    // The members of a one-rack gang must share a rack; each rack is tried once.
    std::set<rack_id> racks;
    if (step.spec->one_rack)
        for (const auto& [id, worker] : workers_)
            racks.insert(worker->listing.rack);
    else
        racks.insert(rack_id());
    for (const rack_id& rack : racks) {
        std::vector<worker_state*> chosen;
        for (task_state& task : step.tasks) {
            worker_state* const worker = choose_worker(job, task, rack);
            if (worker == nullptr) {
                request_advice(job, task);
                break;
            }
            // The member's last run must not count as one on its new worker.
            task.run = task_run{};
            assign(task, *worker);
            chosen.push_back(worker);
        }
        if (chosen.size() == step.tasks.size()) {
            const run_number run = next_run();
            for (std::size_t index = 0; index < chosen.size(); ++index)
                start(step.tasks[index], *chosen[index], run, first.progress.checkpoint);
            return true;
        }
        for (std::size_t index = 0; index < chosen.size(); ++index)
            release(step.tasks[index]);
    }
    placement_due_ = false;
    return false;
}

bool cell_coordinator::is_usable(const worker_state& worker, const job_state& job) const {
    const instant now = deps_.time.now();
    return accepts_starts(worker) && worker.listing.service == job.service &&
           now >= worker.quarantined_until && now - worker.reported_at < max_report_age;
}

/// Whether the worker's tasks, including those whose starts are on their way, fit its capacity.
/// They may not after it has shrunk.
bool cell_coordinator::is_within_capacity(const worker_state& worker) const {
    return fits(worker.allocated + worker.orphaned.value_or(resources{}), worker.listing.capacity);
}

bool cell_coordinator::admits(const worker_state& worker, const step_state& step) const {
    const step_spec& spec = *step.spec;
    resources size = spec.size;
    if (spec.is_best_effort) {
        if (check_best_effort(worker, step) != best_effort_check::admitted)
            return false;
        size.cpu_millis = 0;
    }
    // All dimensions are checked, even if the worker enforces its capacity itself.
    if (!worker.orphaned)
        return false;
    resources room = worker.listing.capacity - worker.allocated - *worker.orphaned;
    if (!spec.is_service)
        room -= worker.reserved;
    if (!fits(size, room))
        return false;
    if (!spec.label.empty() && std::ranges::count(worker.listing.labels, spec.label) == 0)
        return false;
    if (spec.max_per_worker == 0)
        return true;
    const auto same_step_tasks = std::ranges::count_if(
        worker.tasks, [&step](const task_state* other) { return other->step == &step; });
    return static_cast<std::uint32_t>(same_step_tasks) < spec.max_per_worker;
}

/// Returns the placement score of a step's task on a worker; higher is better.
double cell_coordinator::score(const worker_state& worker, const step_state& step) const {
    const step_spec& spec = *step.spec;
    const resources& capacity = worker.listing.capacity;
    const resources left = capacity - worker.allocated;
    double value = 0;
    if (spec.is_best_effort)
        value = score_best_effort(worker, step);
    else
        value = std::min(share(left.cpu_millis - spec.size.cpu_millis, capacity.cpu_millis),
                         share(left.memory_mib - spec.size.memory_mib, capacity.memory_mib));
    if (spec.latency_target > duration::zero())
        value += score_latency_critical(worker, step);
    if (!spec.preferred_rack.empty() && worker.listing.rack == spec.preferred_rack)
        value += near_data_bonus;
    if (worker.listing.warmup_left > duration::zero())
        value -= cold_penalty;
    return value;
}

/// Scores a latency-critical task higher where the other latency-critical tasks are slowed by the
/// same best-effort images.
double cell_coordinator::score_latency_critical(const worker_state& worker,
                                                const step_state& step) const {
    double difference = 0;
    for (const auto& [image, tasks] : worker.latency_critical_images)
        difference = std::max(difference, slowdowns_.sensitivity_difference(image, step.image));
    const bool same = worker.latency_critical_images.contains(step.image);
    return (same ? same_image_bonus * (1 - difference) : 0) - difference * other_image_penalty;
}

/// Stops service tasks on workers that are about to leave, so that they are started elsewhere while
/// the worker still runs; other tasks may finish there.
void cell_coordinator::drain_leaving_workers() {
    for (const auto& [id, worker] : workers_) {
        if (!worker->listing.leaving)
            continue;
        const std::vector<task_state*> tasks(worker->tasks.begin(), worker->tasks.end());
        for (task_state* const task : tasks)
            if (task->step->spec->is_service)
                request_stop(*task);
    }
}

} // namespace figwinch
