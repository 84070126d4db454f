#include "cell/cell_coordinator.h"
#include "cell/crash_history.h"
#include "figwinch/observe.h"

#include <absl/container/flat_hash_set.h>

#include <algorithm>
#include <cmath>

namespace figwinch {
namespace {

// Bounds on the starts of a placement round. The rest follows in the next one, so that reports are
// processed in between.
constexpr std::int64_t max_starts_per_ms = 5;
constexpr std::int64_t min_starts_per_round = 40;
constexpr std::int64_t max_starts_per_round = 400;
// Bounds on the work of a pass that isn't a start: jobs looked at, and searches among workers that
// found none.
constexpr std::size_t max_jobs_per_pass = 256;
constexpr std::size_t max_failed_searches = 32;
// Share of the starts of batch tasks that goes to the jobs that have waited longest, and how many
// starts may be due to them.
constexpr double longest_waiting_share = 0.25;
constexpr double max_wait_credit = 40;
constexpr std::size_t max_longest_waiting = 16;
// One round in this many serves the longest waiting jobs that are of no use to their callers any
// more, so that they end too.
constexpr std::uint64_t turns_per_lost_job = 4;
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
    if (!has_current_notices()) {
        placement_due_ = true;
        return;
    }
    ++counts_.placement_rounds;
    update_unresolved_marks();
    failed_searches_.clear();
    start_overdue_jobs();
    const std::uint64_t max_starts = counts_.starts + max_starts_of_round();
    bool complete =
        place_in_order(queues_.services(), placement_pass::service_restarts, max_starts);
    complete = place_batch(max_starts) && complete;
    complete =
        place_in_order(queues_.services(), placement_pass::service_first_starts, max_starts) &&
        complete;
    if (complete)
        return;
    ++counts_.rounds_cut_short;
    placement_due_ = true;
}

/// Returns the limit on starts of this round. It follows the time since the last one, so that a
/// host whose ticks are late doesn't also start less.
std::uint64_t cell_coordinator::max_starts_of_round() {
    const instant now = deps_.time.now();
    const auto elapsed_ms =
        (now - std::exchange(last_round_at_, now)) / std::chrono::milliseconds(1);
    return static_cast<std::uint64_t>(
        std::clamp(elapsed_ms * max_starts_per_ms, min_starts_per_round, max_starts_per_round));
}

std::uint64_t cell_coordinator::starts_so_far() const {
    return counts_.starts + unrecorded_starts_.size();
}

/// Starts batch tasks: first of the jobs that have waited longest, as far as their share of the
/// starts allows, then in scheduling order.
bool cell_coordinator::place_batch(std::uint64_t max_starts) {
    place_longest_waiting();
    const std::uint64_t before = starts_so_far();
    const bool complete = place_in_order(queues_.batch(), placement_pass::batch_tasks, max_starts);
    const auto started = static_cast<double>(starts_so_far() - before);
    wait_credit_ = std::min(max_wait_credit, wait_credit_ + started * longest_waiting_share);
    return complete;
}

/// Starts tasks of the jobs that have had no start for longest. In scheduling order alone, a large
/// job would wait for as long as smaller ones keep coming.
void cell_coordinator::place_longest_waiting() {
    const bool lost = ++wait_turn_ % turns_per_lost_job == 0;
    const ordered_jobs<wait_order>& waiting = queues_.by_wait();
    const instant now = deps_.time.now();
    instant& cursor = wait_cursors_.at(lost ? 1 : 0);
    auto next = waiting.lower_bound({lost, cursor, {}});
    for (std::size_t examined = 0; examined < max_longest_waiting && wait_credit_ >= 1;
         ++examined, ++next) {
        const bool at_end = next == waiting.end() || next->first.lost != lost ||
                            now - next->first.last_start_at < max_idle_time;
        cursor = at_end ? instant::min() : next->first.last_start_at + duration(1);
        if (at_end)
            return;
        ++counts_.jobs_examined;
        const std::uint64_t before = starts_so_far();
        place_job(*next->second, placement_pass::batch_tasks);
        wait_credit_ -= static_cast<double>(starts_so_far() - before);
    }
}

/// Starts the tasks of one pass, job by job. Returns false if not all jobs were looked at: the
/// total number of starts reached `max_starts`, or too many jobs couldn't start. The next round
/// then looks at the first jobs again, and goes on where this one ended.
bool cell_coordinator::place_in_order(const ordered_jobs<service_order>& waiting,
                                      placement_pass pass, std::uint64_t max_starts) {
    std::optional<service_order>& cursor = round_cursors_.at(static_cast<std::size_t>(pass));
    const std::uint64_t failed_before = failed_searches_in_term_;
    std::size_t examined = 0;
    for (auto next = waiting.begin(); next != waiting.end(); ++next) {
        const std::uint64_t failed = failed_searches_in_term_ - failed_before;
        const bool half_done =
            examined >= max_jobs_per_pass / 2 || failed >= max_failed_searches / 2;
        if (half_done && cursor && next->first < *cursor)
            next = waiting.lower_bound(*cursor);
        if (next == waiting.end())
            break;
        if (starts_so_far() >= max_starts)
            return false;
        if (examined++ == max_jobs_per_pass || failed >= max_failed_searches) {
            cursor = next->first;
            // The job, which owns the text, may be gone by the next round.
            cursor->id = {};
            return false;
        }
        ++counts_.jobs_examined;
        place_job(*next->second, pass);
    }
    cursor.reset();
    return true;
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
        worker_state* const worker =
            any_worker ? best_candidate(*found, task) : choose_recorded(job, task);
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
    if (give_up_if_due(first))
        return false;
    const instant last_usual_run_at = job.last_usual_run_at;
    // The members of a one-rack gang must share a rack; each rack is tried once.
    absl::flat_hash_set<rack_id> racks;
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
        // No run was ordered.
        job.last_usual_run_at = last_usual_run_at;
    }
    placement_due_ = false;
    return false;
}

bool cell_coordinator::is_usable(const worker_state& worker, const job_state& job) const {
    const instant now = deps_.time.now();
    return worker.listed && !worker.listing.leaving && worker.reported_this_term &&
           worker.registered && !worker.unresponsive && worker.listing.service == job.service &&
           now >= worker.quarantined_until && now - worker.reported_at < max_report_age &&
           !evacuated_.contains(worker.listing.data_centre);
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
