#include "cell/cell_coordinator.h"
#include "figwinch/observe.h"

#include <utility>

namespace figwinch {
namespace {

constexpr duration stop_retry = std::chrono::milliseconds(300);
// A stop that was acknowledged shows in the worker's reports within its stop bound.
constexpr duration stop_again = std::chrono::milliseconds(1500);
// An order without an answer may be carried out up to this long after it was sent.
constexpr duration latest_pace = std::chrono::seconds(12);
// While one may be, the pace is ordered anew so often. With one more lost answer on the way it is
// in force within half of the time for which a serving task may be over its target.
constexpr duration pace_again = std::chrono::seconds(1);

} // namespace

void cell_coordinator::request_stop(task_work& task) {
    if (task.run.now == task_run::phase::stopping)
        return;
    task.run.now = task_run::phase::stopping;
    task.run.settled_at.reset();
    task.run.next_stop = with_.time.now();
    stopping_.push_back(name_of(task));
}

void cell_coordinator::send_stops() {
    const instant now = with_.time.now();
    std::vector<task_name> keep;
    for (const task_name& name : std::exchange(stopping_, {})) {
        task_work* const task = find_task(name);
        if (task == nullptr || task->where == nullptr || task->run.now != task_run::phase::stopping)
            continue;
        keep.push_back(name);
        if (task->run.stop_in_flight || now < task->run.next_stop)
            continue;
        task->run.stop_in_flight = true;
        ++counts_.stops;
        with_.orders.stop(task->where->listing, to_string(name), task->run.number, epoch_,
                          [this, weak = std::weak_ptr(alive_), name,
                           run = task->run.number](const order_answer& answer) {
                              if (!weak.expired() && !deposed_)
                                  take_stop_answer(name, run, answer);
                          });
    }
    stopping_.insert(stopping_.end(), keep.begin(), keep.end());
}

void cell_coordinator::take_stop_answer(const task_name& name, run_number run,
                                        const order_answer& answer) {
    if (answer.outcome == order_outcome::superseded)
        return be_deposed();
    task_work* const task = find_task(name);
    if (task == nullptr || task->where == nullptr || task->run.number != run)
        return;
    const instant now = with_.time.now();
    task->run.stop_in_flight = false;
    if (answer.outcome != order_outcome::done) {
        task->run.next_stop = now + stop_retry;
        return;
    }
    if (!task->run.settled_at)
        task->run.settled_at = now;
    task->run.next_stop = now + stop_again;
}

void cell_coordinator::stop_stray(const worker_work& worker, const std::string& task,
                                  run_number run) {
    ++counts_.stops;
    log_event(log_level::info, "stray_run_stopped",
              {{"task", task}, {"worker", worker.listing.id.str()}});
    with_.orders.stop(worker.listing, task, run, epoch_,
                      [this, weak = std::weak_ptr(alive_)](const order_answer& answer) {
                          if (!weak.expired() && answer.outcome == order_outcome::superseded)
                              be_deposed();
                      });
}

/// Orders a pace that isn't in force, or in doubt: an order without an answer may have been carried
/// out, or may be after newer ones. Then a filling task works faster than is wanted, which shows as
/// a serving task that stays over its target, or slower. The wanted pace is ordered anew until an
/// order is answered that was sent when no earlier one can come any more: that one is the last.
void cell_coordinator::send_pace(task_work& task) {
    task_run& run = task.run;
    const instant now = with_.time.now();
    const bool again = run.pace_doubted_until && now - run.pace_sent_at >= pace_again;
    if (run.now == task_run::phase::starting || run.pace_in_flight ||
        (run.pace_wanted == run.pace_set && !again))
        return;
    run.pace_in_flight = true;
    run.pace_sent_at = now;
    ++counts_.paces;
    const task_name name = name_of(task);
    const throttle_order order{to_string(name), run.number, run.pace_wanted, epoch_};
    with_.orders.throttle(task.where->listing, order,
                          [this, weak = std::weak_ptr(alive_), name, number = run.number,
                           percent = run.pace_wanted](const order_answer& answer) {
                              if (!weak.expired() && !deposed_)
                                  take_pace_answer(name, number, percent, answer);
                          });
}

void cell_coordinator::take_pace_answer(const task_name& name, run_number number, int percent,
                                        const order_answer& answer) {
    if (answer.outcome == order_outcome::superseded)
        return be_deposed();
    task_work* const task = find_task(name);
    if (task == nullptr || task->where == nullptr || task->run.number != number)
        return;
    task_run& run = task->run;
    run.pace_in_flight = false;
    if (answer.outcome == order_outcome::unknown) {
        log_event(log_level::warn, "pace_unanswered",
                  {{"task", to_string(name)},
                   {"worker", task->where->listing.id.str()},
                   {"percent", std::int64_t{percent}}});
        run.pace_set = task_run::pace_unknown;
        run.pace_doubted_until = run.pace_sent_at + latest_pace;
    }
    if (answer.outcome != order_outcome::done)
        return;
    if (run.pace_doubted_until && run.pace_sent_at >= *run.pace_doubted_until)
        run.pace_doubted_until.reset();
    run.pace_set = percent;
}

} // namespace figwinch
