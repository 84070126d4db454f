#include "cell/cell_coordinator.h"
#include "figwinch/observe.h"

#include <utility>

namespace figwinch {
namespace {

constexpr duration stop_retry = std::chrono::milliseconds(300);
// An acknowledged stop shows in the worker's reports within the worker's stop timeout; it is sent
// again after this time.
constexpr duration acknowledged_stop_retry = std::chrono::milliseconds(1500);
// A throttle order without an answer may take effect up to this long after it was sent.
constexpr duration max_throttle_delay = std::chrono::seconds(12);
// Interval at which the throttle is sent again while an unanswered order may take effect. If one
// more answer is lost, the throttle is in force within half of the time for which a
// latency-critical task may exceed its target.
constexpr duration throttle_retry = std::chrono::seconds(1);

} // namespace

void cell_coordinator::request_stop(task_state& task) {
    if (task.run.current_phase == task_run::phase::stopping)
        return;
    task.run.current_phase = task_run::phase::stopping;
    task.run.no_order_since.reset();
    task.run.next_stop = deps_.time.now();
    tasks_to_stop_.push_back(name_of(task));
}

void cell_coordinator::send_stops() {
    const instant now = deps_.time.now();
    std::vector<task_name> remaining;
    for (const task_name& name : std::exchange(tasks_to_stop_, {})) {
        task_state* const task = find_task(name);
        if (task == nullptr || task->assigned_worker == nullptr ||
            task->run.current_phase != task_run::phase::stopping)
            continue;
        remaining.push_back(name);
        if (task->run.stop_in_flight || now < task->run.next_stop)
            continue;
        task->run.stop_in_flight = true;
        ++counts_.stops;
        deps_.orders.stop(task->assigned_worker->listing, to_string(name), task->run.number, epoch_,
                          [this, weak = std::weak_ptr(alive_), name,
                           run = task->run.number](const order_answer& answer) {
                              if (!weak.expired() && !superseded_)
                                  handle_stop_answer(name, run, answer);
                          });
    }
    tasks_to_stop_.insert(tasks_to_stop_.end(), remaining.begin(), remaining.end());
}

void cell_coordinator::handle_stop_answer(const task_name& name, run_number run,
                                          const order_answer& answer) {
    if (answer.outcome == order_outcome::superseded)
        return handle_superseded();
    task_state* const task = find_task(name);
    if (task == nullptr || task->assigned_worker == nullptr || task->run.number != run)
        return;
    const instant now = deps_.time.now();
    task->run.stop_in_flight = false;
    if (answer.outcome != order_outcome::done) {
        task->run.next_stop = now + stop_retry;
        return;
    }
    if (!task->run.no_order_since)
        task->run.no_order_since = now;
    task->run.next_stop = now + acknowledged_stop_retry;
}

void cell_coordinator::stop_orphaned_run(const worker_state& worker, const std::string& task,
                                         run_number run) {
    ++counts_.stops;
    log_event(log_level::info, "stray_run_stopped",
              {{"task", task}, {"worker", worker.listing.id.str()}});
    deps_.orders.stop(worker.listing, task, run, epoch_,
                      [this, weak = std::weak_ptr(alive_)](const order_answer& answer) {
                          if (!weak.expired() && answer.outcome == order_outcome::superseded)
                              handle_superseded();
                      });
}

/// Sends the wanted CPU throttle if it is not in force, or if that is in doubt. An order without an
/// answer may have taken effect, or may do so after newer ones. The best-effort task then runs
/// slower than wanted, or faster, which shows as a latency-critical task that stays above its
/// target. The order is repeated until one is answered that was sent after the last unanswered one
/// can have taken effect.
void cell_coordinator::send_throttle(task_state& task) {
    task_run& run = task.run;
    const instant now = deps_.time.now();
    const bool retry_due =
        run.throttle_uncertain_until && now - run.throttle_sent_at >= throttle_retry;
    if (run.current_phase == task_run::phase::starting || run.throttle_in_flight ||
        (run.throttle_wanted == run.throttle_in_force && !retry_due))
        return;
    run.throttle_in_flight = true;
    run.throttle_sent_at = now;
    ++counts_.throttle_orders;
    const task_name name = name_of(task);
    const throttle_order order{to_string(name), run.number, run.throttle_wanted, epoch_};
    deps_.orders.throttle(task.assigned_worker->listing, order,
                          [this, weak = std::weak_ptr(alive_), name, number = run.number,
                           percent = run.throttle_wanted](const order_answer& answer) {
                              if (!weak.expired() && !superseded_)
                                  handle_throttle_answer(name, number, percent, answer);
                          });
}

void cell_coordinator::handle_throttle_answer(const task_name& name, run_number number, int percent,
                                              const order_answer& answer) {
    if (answer.outcome == order_outcome::superseded)
        return handle_superseded();
    task_state* const task = find_task(name);
    if (task == nullptr || task->assigned_worker == nullptr || task->run.number != number)
        return;
    task_run& run = task->run;
    run.throttle_in_flight = false;
    if (answer.outcome == order_outcome::unknown) {
        log_event(log_level::warn, "pace_unanswered",
                  {{"task", to_string(name)},
                   {"worker", task->assigned_worker->listing.id.str()},
                   {"percent", std::int64_t{percent}}});
        run.throttle_in_force = task_run::throttle_unknown;
        run.throttle_uncertain_until = run.throttle_sent_at + max_throttle_delay;
    }
    if (answer.outcome != order_outcome::done)
        return;
    if (run.throttle_uncertain_until && run.throttle_sent_at >= *run.throttle_uncertain_until)
        run.throttle_uncertain_until.reset();
    run.throttle_in_force = percent;
}

} // namespace figwinch
