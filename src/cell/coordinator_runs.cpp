#include "cell/cell_coordinator.h"
#include "cell/crash_history.h"
#include "figwinch/observe.h"

#include <algorithm>
#include <array>

namespace figwinch {
namespace {

constexpr duration quarantine_after_refusal = std::chrono::milliseconds(700);
constexpr duration quarantine_without_room = std::chrono::milliseconds(300);
constexpr duration backoff_per_failure = std::chrono::milliseconds(100);
// Failed runs of this many different jobs in a row put a worker in quarantine. If one run in 30
// fails, three in a row happen by chance once in 27,000 runs.
constexpr std::uint32_t failures_to_quarantine = 3;
constexpr duration quarantine_after_failures = std::chrono::seconds(4);

const char* end_name(run_end end) {
    static constexpr std::array names = {"done", "failed", "stopped", "lapsed", "broken", "alone"};
    return names[static_cast<std::size_t>(end)];
}

} // namespace

/// Assigns a task to a worker. The start order is sent at once, or once the log has a record that
/// the run may be there.
void cell_coordinator::start(task_state& task, worker_state& worker, run_number run,
                             const std::string& checkpoint) {
    task.run = task_run{};
    task.run.number = run;
    task.run.incarnation = worker.born_ms;
    task.run.checkpoint = checkpoint;
    task.job->waiting_since = deps_.time.now();
    if (task.assigned_worker == nullptr)
        assign(task, worker);
    const bool is_trial = is_crash_suspect(crash_record_of(task));
    if (is_trial)
        record_trial(task, worker);
    else if (is_recorded_at(task, worker))
        return order_start(task);
    record_placement(task, worker);
    unrecorded_starts_.emplace_back(name_of(task), run);
}

void cell_coordinator::order_start(task_state& task) {
    const instant now = deps_.time.now();
    worker_state& worker = *task.assigned_worker;
    const run_number run = task.run.number;
    const std::string& checkpoint = task.run.checkpoint;
    const std::int64_t clock_ms = worker.clock.lower_bound(now).value_or(0);
    task.run.ordered_at = now;
    task.run.seen_at = now;
    task.run.start_expires_ms = clock_ms + start_validity.count() / 1000;
    worker.latest_lease_expiry_ms =
        std::max(worker.latest_lease_expiry_ms, task.run.start_expires_ms);
    task.run.may_run_until_ms = clock_ms + settings_.max_granted_lease.count() / 1000;
    ++counts_.starts;
    const task_name name = name_of(task);
    start_order order{to_string(name),           run,    task.job->spec->payload, checkpoint,
                      task.run.start_expires_ms, epoch_, ticket_for(task, worker)};
    order.incarnation = worker.born_ms;
    order.still_wanted = [this, weak = std::weak_ptr(alive_), name, run, id = worker.listing.id,
                          born_ms = worker.born_ms] {
        return !weak.expired() && !superseded_ && is_start_wanted(name, run, id, born_ms);
    };
    task.run.name = order.task;
    log_event(log_level::info, "task_started",
              {{"task", order.task},
               {"run", static_cast<std::int64_t>(run.value())},
               {"worker", worker.listing.id.str()},
               {"resumed", !checkpoint.empty()}});
    deps_.orders.start(worker.listing, order,
                       [this, weak = std::weak_ptr(alive_), name, run, id = worker.listing.id,
                        born_ms = worker.born_ms](const order_answer& answer) {
                           if (!weak.expired() && !superseded_)
                               handle_start_answer(name, run, id, born_ms, answer);
                       });
}

/// Returns whether a start order that was held back may still be sent: the rest of its validity is
/// enough for delivery, and the start would still be allowed now.
bool cell_coordinator::is_start_wanted(const task_name& name, run_number run, const worker_id& id,
                                       std::uint64_t born_ms) {
    const worker_state* const worker = find_worker(id);
    const task_state* const task = find_task(name);
    if (task == nullptr || worker == nullptr || task->assigned_worker != worker ||
        task->run.number != run)
        return false;
    const duration waited = deps_.time.now() - task->run.ordered_at;
    return task->run.current_phase == task_run::phase::starting && worker->born_ms == born_ms &&
           waited < start_validity - order_delivery_time && has_current_notices() &&
           is_usable(*worker, *task->job) && is_within_capacity(*worker);
}

void cell_coordinator::handle_start_answer(const task_name& name, run_number run,
                                           const worker_id& id, std::uint64_t born_ms,
                                           const order_answer& answer) {
    const instant now = deps_.time.now();
    if (answer.outcome == order_outcome::superseded)
        return handle_superseded();
    worker_state* const worker = find_worker(id);
    if (worker != nullptr && worker->born_ms == born_ms) {
        if (answer.clock_ms && !answer.may_reach_other_incarnation)
            worker->clock.observe(*answer.clock_ms, now);
        if (answer.outcome == order_outcome::other_incarnation)
            handle_restart(*worker);
    }
    task_state* const task = find_task(name);
    if (task == nullptr || worker == nullptr || task->assigned_worker != worker ||
        task->run.number != run)
        return;
    task_run& state = task->run;
    if (!answer.may_reach_other_incarnation)
        state.may_run_until_ms = 0;
    switch (answer.outcome) {
    case order_outcome::done:
        state.has_started = true;
        if (state.current_phase == task_run::phase::stopping)
            return;
        state.current_phase = task_run::phase::running;
        state.no_order_since = now;
        mark_begun(*task->job);
        clear_gang_failures(*task->step);
        if (task->is_throttled_start) {
            state.throttle_wanted = throttled_start_percent;
            send_throttle(*task);
        }
        return;
    case order_outcome::dropped:
        return handle_dropped_start(*task, *worker);
    case order_outcome::unknown:
        log_event(log_level::warn, "start_unanswered",
                  {{"task", to_string(name)},
                   {"worker", id.str()},
                   {"may_reach_other_life", answer.may_reach_other_incarnation}});
        worker->quarantined_until = now + quarantine_after_refusal;
        if (state.current_phase == task_run::phase::running)
            state.no_order_since = now;
        else
            request_stop(*task);
        return;
    case order_outcome::not_advised:
        task->step->advice.drop_ticket(id);
        return handle_refused_start(*task, *worker, to_string(answer.outcome), duration::zero());
    case order_outcome::no_room:
        return handle_refused_start(*task, *worker, to_string(answer.outcome),
                                    quarantine_without_room);
    case order_outcome::too_late:
        return handle_refused_start(*task, *worker, to_string(answer.outcome), duration::zero());
    default:
        return handle_refused_start(*task, *worker, to_string(answer.outcome),
                                    quarantine_after_refusal);
    }
}

/// A worker has confirmed a run of the job: it doesn't count as waiting any more.
void cell_coordinator::mark_begun(job_state& job) {
    if (job.phase == job_phase::open && !std::exchange(job.begun, true))
        mark_dirty(job);
}

/// Updates the worker's list of images, which placement uses, from its tasks.
void cell_coordinator::update_images(worker_state& worker) {
    const auto cores = static_cast<double>(worker.listing.capacity.cpu_millis);
    worker.best_effort_images.clear();
    worker.latency_critical_images.clear();
    for (const task_state* const task : worker.tasks) {
        const step_spec& spec = *task->step->spec;
        if (spec.is_best_effort && !spec.is_service)
            worker.best_effort_images.push_back(
                {task->step->image, static_cast<double>(best_effort_millis(*task)) / cores});
        else if (!spec.is_best_effort && spec.latency_target > duration::zero())
            ++worker.latency_critical_images[task->step->image];
    }
    update_image_tags(worker);
}

/// Handles a refused start order. No run of it is on the worker.
void cell_coordinator::handle_refused_start(task_state& task, worker_state& worker,
                                            std::string_view why, duration quarantine) {
    log_event(log_level::warn, "start_refused",
              {{"task", to_string(name_of(task))},
               {"worker", worker.listing.id.str()},
               {"why", std::string(why)}});
    worker.quarantined_until = std::max(worker.quarantined_until, deps_.time.now() + quarantine);
    end_trial(task, task.run.number);
    release(task);
    if (task.step->spec->gang)
        stop_gang(*task.step, task.run.number, why);
}

void cell_coordinator::assign(task_state& task, worker_state& worker) {
    const step_spec& spec = *task.step->spec;
    task.assigned_worker = &worker;
    task.is_throttled_start = task.step->is_overdue;
    worker.tasks.push_back(&task);
    ++task.step->assigned;
    ++task.job->assigned;
    task.job->usual_runs += task.is_throttled_start ? 0 : 1;
    mark_changed(*task.job);
    resources requested = spec.size;
    if (spec.is_best_effort) {
        worker.best_effort_cpu += best_effort_millis(task);
        worker.best_effort_service_cpu += spec.is_service ? best_effort_millis(task) : 0;
        requested.cpu_millis = 0;
    }
    worker.allocated += requested;
    worker.service_cpu += spec.is_service ? requested.cpu_millis : 0;
    update_images(worker);
    update_index(worker);
}

void cell_coordinator::release(task_state& task) {
    const step_spec& spec = *task.step->spec;
    worker_state& worker = *task.assigned_worker;
    std::erase(worker.tasks, &task);
    task.assigned_worker = nullptr;
    task.down_since = deps_.time.now();
    --task.step->assigned;
    --task.job->assigned;
    task.job->usual_runs -= task.is_throttled_start ? 0 : 1;
    // A start that was refused, or got no answer, is no run.
    if (!task.is_throttled_start && task.run.has_started)
        task.job->last_usual_run_at = deps_.time.now();
    mark_changed(*task.job);
    resources requested = spec.size;
    if (spec.is_best_effort) {
        worker.best_effort_cpu -= best_effort_millis(task);
        worker.best_effort_service_cpu -= spec.is_service ? best_effort_millis(task) : 0;
        requested.cpu_millis = 0;
    }
    task.is_throttled_start = false;
    worker.allocated -= requested;
    worker.service_cpu -= spec.is_service ? requested.cpu_millis : 0;
    update_images(worker);
    update_index(worker);
    if (!task.run.checkpoint.empty() && !task.progress.done)
        task.progress.checkpoint = task.run.checkpoint;
    placement_due_ = true;
}

void cell_coordinator::apply_ended_run(worker_state& worker, const ended_run& row) {
    const auto name = parse_task_name(row.task);
    task_state* const task = name ? find_task(*name) : nullptr;
    if (row.reason != run_end::done)
        log_event(log_level::info, "run_ended",
                  {{"task", row.task},
                   {"run", static_cast<std::int64_t>(row.run.value())},
                   {"worker", worker.listing.id.str()},
                   {"how", std::string(end_name(row.reason))}});
    if (task == nullptr)
        return;
    mark_begun(*task->job);
    clear_of_crash(*task, row.run);
    end_trial(*task, row.run);
    const bool bound_here = task->assigned_worker == &worker && task->run.number == row.run;
    if (bound_here) {
        if (!row.checkpoint.empty())
            task->run.checkpoint = row.checkpoint;
        release(*task);
        mark_dirty(*task->job);
    }
    if (row.reason == run_end::done) {
        worker.consecutive_failures = 0;
        if (bound_here)
            record_run_time(*task);
        if (!task->step->spec->is_service)
            apply_success(*task);
    }
    if (row.reason == run_end::failed)
        apply_failure(*task, worker, row.run);
    if (row.reason == run_end::gang_timeout && bound_here)
        record_gang_failure(*task->step, row.run, end_name(row.reason));
}

void cell_coordinator::apply_success(task_state& task) {
    if (task.assigned_worker != nullptr)
        request_stop(task);
    if (!task.step->spec->gang)
        return end_task(task);
    // If one member of a gang succeeds, the whole gang has.
    for (task_state& member : task.step->tasks)
        end_task(member);
}

void cell_coordinator::apply_failure(task_state& task, worker_state& worker, run_number run) {
    count_worker_failure(worker, task.job->id);
    // A gang fails as a whole: its failures are counted with its first member.
    task_state& counted = task.step->spec->gang ? task.step->tasks.front() : task;
    std::vector<run_number>& failed = counted.progress.failed_runs;
    if (std::ranges::count(failed, run) > 0 || task.progress.done)
        return;
    task.add_failed_on(worker.listing.id);
    mark_dirty(*task.job);
    if (task.step->spec->is_service)
        return;
    failed.push_back(run);
    task.not_before = deps_.time.now() + backoff_per_failure * static_cast<int>(failed.size());
    if (failed.size() >= task.job->attempts && task.job->phase == job_phase::open)
        end_job(*task.job, job_phase::failed);
}

void cell_coordinator::count_worker_failure(worker_state& worker, const job_id& job) {
    if (worker.last_failed_job != job)
        ++worker.consecutive_failures;
    worker.last_failed_job = job;
    if (worker.consecutive_failures < failures_to_quarantine)
        return;
    // After the quarantine one more failure on the worker is enough for the next quarantine.
    worker.consecutive_failures = failures_to_quarantine - 1;
    worker.quarantined_until = deps_.time.now() + quarantine_after_failures;
    log_event(log_level::warn, "worker_rests", {{"worker", worker.listing.id.str()}});
}

} // namespace figwinch
