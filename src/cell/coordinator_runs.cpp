#include "cell/cell_coordinator.h"
#include "figwinch/observe.h"

#include <algorithm>
#include <array>

namespace figwinch {
namespace {

constexpr duration rest_after_refusal = std::chrono::milliseconds(700);
constexpr duration rest_without_room = std::chrono::milliseconds(300);
constexpr duration pause_per_failure = std::chrono::milliseconds(100);
// Three different jobs in a row failing on one worker: by chance, with one run in 30 failing, once
// in 27,000 runs.
constexpr std::uint32_t failures_to_rest = 3;
constexpr duration rest_after_failures = std::chrono::seconds(4);

const char* end_name(run_end end) {
    static constexpr std::array names = {"done", "failed", "stopped", "lapsed", "broken", "alone"};
    return names[static_cast<std::size_t>(end)];
}

} // namespace

/// Binds a task to a worker. The order to start goes out at once, or once the log has it where the
/// run is to be.
void cell_coordinator::start(task_work& task, worker_work& worker, run_number run,
                             const std::string& checkpoint) {
    task.run = task_run{};
    task.run.number = run;
    task.run.checkpoint = checkpoint;
    if (task.where == nullptr)
        bind(task, worker);
    if (!std::exchange(task.job->begun, true))
        mark_dirty(*task.job);
    if (is_recorded_at(task, worker))
        return order_start(task);
    note_place(task, worker);
    recording_.emplace_back(name_of(task), run);
}

void cell_coordinator::order_start(task_work& task) {
    const instant now = with_.time.now();
    worker_work& worker = *task.where;
    const run_number run = task.run.number;
    const std::string& checkpoint = task.run.checkpoint;
    const std::int64_t clock_ms = worker.clock.lower_bound(now).value_or(0);
    task.run.ordered_at = now;
    task.run.seen_at = now;
    task.run.start_until_ms = clock_ms + start_validity.count() / 1000;
    worker.latest_until_ms = std::max(worker.latest_until_ms, task.run.start_until_ms);
    task.run.may_live_until_ms = clock_ms + settings_.max_hold.count() / 1000;
    ++counts_.starts;
    const task_name name = name_of(task);
    start_order order{to_string(name),         run,    task.job->spec->payload, checkpoint,
                      task.run.start_until_ms, epoch_, ticket_for(task, worker)};
    order.incarnation = worker.born_ms;
    order.still_wanted = [this, weak = std::weak_ptr(alive_), name, run, id = worker.listing.id,
                          born_ms = worker.born_ms] {
        return !weak.expired() && !deposed_ && is_start_wanted(name, run, id, born_ms);
    };
    task.run.name = order.task;
    log_event(log_level::info, "task_started",
              {{"task", order.task},
               {"run", static_cast<std::int64_t>(run.value())},
               {"worker", worker.listing.id.str()},
               {"resumed", !checkpoint.empty()}});
    with_.orders.start(worker.listing, order,
                       [this, weak = std::weak_ptr(alive_), name, run,
                        id = worker.listing.id](const order_answer& answer) {
                           if (!weak.expired() && !deposed_)
                               take_start_answer(name, run, id, answer);
                       });
}

/// Whether an order that waited unsent may still go out: the rest of its time is enough for its
/// way, and nothing has come that would keep it from being given now.
bool cell_coordinator::is_start_wanted(const task_name& name, run_number run, const worker_id& id,
                                       std::uint64_t born_ms) {
    const worker_work* const worker = find_worker(id);
    const task_work* const task = find_task(name);
    if (task == nullptr || worker == nullptr || task->where != worker || task->run.number != run)
        return false;
    const duration waited = with_.time.now() - task->run.ordered_at;
    return task->run.now == task_run::phase::starting && worker->born_ms == born_ms &&
           waited < start_validity - order_way && sees_notices() && usable(*worker, *task->job);
}

void cell_coordinator::take_start_answer(const task_name& name, run_number run, const worker_id& id,
                                         const order_answer& answer) {
    const instant now = with_.time.now();
    if (answer.outcome == order_outcome::superseded)
        return be_deposed();
    worker_work* const worker = find_worker(id);
    if (worker != nullptr && answer.clock_ms)
        worker->clock.observe(*answer.clock_ms, now);
    task_work* const task = find_task(name);
    if (task == nullptr || worker == nullptr || task->where != worker || task->run.number != run)
        return;
    task_run& state = task->run;
    if (!answer.may_reach_other_incarnation)
        state.may_live_until_ms = 0;
    switch (answer.outcome) {
    case order_outcome::done:
        if (state.now == task_run::phase::stopping)
            return;
        state.now = task_run::phase::running;
        state.settled_at = now;
        return;
    case order_outcome::unknown:
        log_event(log_level::warn, "start_unanswered",
                  {{"task", to_string(name)},
                   {"worker", id.str()},
                   {"may_reach_other_life", answer.may_reach_other_incarnation}});
        worker->rest_until = now + rest_after_refusal;
        if (state.now == task_run::phase::running)
            state.settled_at = now;
        else
            request_stop(*task);
        return;
    case order_outcome::not_advised:
        task->step->advice.drop_ticket(id);
        return give_back(*task, *worker, to_string(answer.outcome), duration::zero());
    case order_outcome::no_room:
        return give_back(*task, *worker, to_string(answer.outcome), rest_without_room);
    case order_outcome::too_late:
        return give_back(*task, *worker, to_string(answer.outcome), duration::zero());
    default:
        return give_back(*task, *worker, to_string(answer.outcome), rest_after_refusal);
    }
}

/// Brings what placement knows of a worker's images up to date with its tasks.
void cell_coordinator::list_images(worker_work& worker) {
    const auto cores = static_cast<double>(worker.listing.capacity.cpu_millis);
    worker.filling_images.clear();
    worker.serving.clear();
    for (const task_work* const task : worker.tasks) {
        const step_spec& spec = *task->step->spec;
        if (spec.is_best_effort)
            worker.filling_images.push_back(
                {task->step->image, static_cast<double>(spec.size.cpu_millis) / cores});
        else if (spec.latency_target > duration::zero())
            ++worker.serving[task->step->image];
    }
    tag_images(worker);
}

/// A start that was refused: nothing of it is on the worker.
void cell_coordinator::give_back(task_work& task, worker_work& worker, std::string_view why,
                                 duration rest) {
    log_event(log_level::warn, "start_refused",
              {{"task", to_string(name_of(task))},
               {"worker", worker.listing.id.str()},
               {"why", std::string(why)}});
    worker.rest_until = std::max(worker.rest_until, with_.time.now() + rest);
    release(task);
    if (task.step->spec->gang)
        for (task_work& member : task.step->tasks)
            if (member.where != nullptr)
                request_stop(member);
}

void cell_coordinator::bind(task_work& task, worker_work& worker) {
    const step_spec& spec = *task.step->spec;
    task.where = &worker;
    worker.tasks.push_back(&task);
    ++task.step->placed;
    resources taken = spec.size;
    if (spec.is_best_effort) {
        worker.filling_cpu += spec.size.cpu_millis;
        taken.cpu_millis = 0;
    }
    worker.taken += taken;
    worker.lasting_cpu += spec.is_service ? taken.cpu_millis : 0;
    list_images(worker);
    offer(worker);
}

void cell_coordinator::release(task_work& task) {
    const step_spec& spec = *task.step->spec;
    worker_work& worker = *task.where;
    std::erase(worker.tasks, &task);
    task.where = nullptr;
    task.down_since = with_.time.now();
    --task.step->placed;
    resources taken = spec.size;
    if (spec.is_best_effort) {
        worker.filling_cpu -= spec.size.cpu_millis;
        taken.cpu_millis = 0;
    }
    worker.taken -= taken;
    worker.lasting_cpu -= spec.is_service ? taken.cpu_millis : 0;
    list_images(worker);
    offer(worker);
    if (!task.run.checkpoint.empty() && !task.progress.done)
        task.progress.checkpoint = task.run.checkpoint;
    placement_due_ = true;
}

void cell_coordinator::take_end(worker_work& worker, const ended_run& row) {
    const auto name = parse_task_name(row.task);
    task_work* const task = name ? find_task(*name) : nullptr;
    if (row.reason != run_end::done)
        log_event(log_level::info, "run_ended",
                  {{"task", row.task},
                   {"run", static_cast<std::int64_t>(row.run.value())},
                   {"worker", worker.listing.id.str()},
                   {"how", std::string(end_name(row.reason))}});
    if (task == nullptr)
        return;
    const bool bound_here = task->where == &worker && task->run.number == row.run;
    if (bound_here) {
        if (!row.checkpoint.empty())
            task->run.checkpoint = row.checkpoint;
        release(*task);
        mark_dirty(*task->job);
    }
    if (row.reason == run_end::done) {
        worker.failures_in_row = 0;
        if (bound_here)
            note_whole_time(*task);
        if (!task->step->spec->is_service)
            take_good_end(*task);
    }
    if (row.reason == run_end::failed)
        take_failure(*task, worker, row.run);
}

void cell_coordinator::take_good_end(task_work& task) {
    if (task.where != nullptr)
        request_stop(task);
    if (!task.step->spec->gang)
        return end_task(task);
    // One member's good end stands for all.
    for (task_work& member : task.step->tasks)
        end_task(member);
}

void cell_coordinator::take_failure(task_work& task, worker_work& worker, run_number run) {
    note_failure_of(worker, task.job->id);
    // A gang fails as one: its failures are counted with its first member.
    task_work& counted = task.step->spec->gang ? task.step->tasks.front() : task;
    std::vector<run_number>& failed = counted.progress.failed_runs;
    if (std::ranges::count(failed, run) > 0 || task.progress.done)
        return;
    std::rotate(task.failed_on.begin(), task.failed_on.end() - 1, task.failed_on.end());
    task.failed_on.front() = worker.listing.id;
    mark_dirty(*task.job);
    if (task.step->spec->is_service)
        return;
    failed.push_back(run);
    task.not_before = with_.time.now() + pause_per_failure * static_cast<int>(failed.size());
    if (failed.size() >= task.job->attempts && task.job->phase == job_phase::open)
        end_job(*task.job, job_phase::failed);
}

void cell_coordinator::note_failure_of(worker_work& worker, const job_id& job) {
    if (worker.last_failed_job != job)
        ++worker.failures_in_row;
    worker.last_failed_job = job;
    if (worker.failures_in_row < failures_to_rest)
        return;
    // After its rest one more failure sends it to rest again.
    worker.failures_in_row = failures_to_rest - 1;
    worker.rest_until = with_.time.now() + rest_after_failures;
    log_event(log_level::warn, "worker_rests", {{"worker", worker.listing.id.str()}});
}

} // namespace figwinch
