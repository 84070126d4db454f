#include "cell/cell_coordinator.h"
#include "figwinch/observe.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace figwinch {
namespace {

// A call costs time for each worker that it names, and the advisor takes one at a time: enough for
// a step of usual width and some that are refused.
constexpr std::size_t most_asked = 30;
// After a call without an answer, or one that was turned away.
constexpr duration ask_again = std::chrono::milliseconds(300);
// Beyond what the terms say: calls of other hosts don't wait with ours, but the way and its
// disturbances take their time.
constexpr duration advice_slack = std::chrono::milliseconds(700);
// Workers that are known to be good go before those that may be refused.
constexpr double known_good_bonus = 100;

} // namespace

/// Whether a start of the task may be sent there as far as the queue's policy is concerned.
bool cell_coordinator::is_advised(const worker_work& worker, const job_work& job,
                                  const step_work& step) const {
    if (!job.advice)
        return true;
    return step.advice.ticket(worker.listing.id, worker.born_ms, with_.time.now()) != nullptr;
}

/// The ticket that a start carries; it stands for the worker's present life from then on.
std::string cell_coordinator::ticket_for(task_work& task, const worker_work& worker) const {
    if (!task.job->advice)
        return "";
    step_advice& advice = task.step->advice;
    advice.bind_incarnation(worker.listing.id, worker.born_ms);
    const std::string* const ticket =
        advice.ticket(worker.listing.id, worker.born_ms, with_.time.now());
    return ticket == nullptr ? "" : *ticket;
}

/// Asks about the workers on which the task would be placed next. One call at a time: the steps of
/// the most urgent jobs come first by the order of placement.
void cell_coordinator::ask_advice(job_work& job, const task_work& task) {
    const instant now = with_.time.now();
    if (!job.advice || advice_in_flight_ || now < next_advice_)
        return;
    std::vector<worker_id> asked = advice_candidates(job, task);
    if (asked.empty())
        return;
    advice_in_flight_ = true;
    ++counts_.advice_calls;
    const advisor_settings& terms = *job.advice;
    const duration patience =
        terms.time_per_call + terms.time_per_worker * static_cast<int>(asked.size()) + advice_slack;
    const task_name name = name_of(task);
    const std::string step = absl::StrCat(job.id.str(), ".", name.occurrence, ".", name.step);
    with_.advisor.ask(step, asked, patience,
                      [this, weak = std::weak_ptr(alive_), name, asked,
                       sent = now](const std::optional<worker_advice>& advice) {
                          if (!weak.expired() && !deposed_)
                              take_advice(name, asked, sent, advice);
                      });
}

std::vector<worker_id> cell_coordinator::advice_candidates(const job_work& job,
                                                           const task_work& task) const {
    const instant now = with_.time.now();
    const step_advice& known = task.step->advice;
    candidates open;
    for (const auto& [id, worker] : workers_) {
        if (!usable(*worker, job) || !admits(*worker, *task.step) ||
            !known.should_ask(id, worker->born_ms, now))
            continue;
        const double bonus = known.is_allowed(id) ? known_good_bonus : 0;
        open.push_back({worker.get(), score(*worker, *task.step) + bonus});
    }
    std::ranges::sort(open, std::greater{}, &candidate::score);
    open.resize(std::min(open.size(), most_asked));
    std::vector<worker_id> asked;
    asked.reserve(open.size());
    for (const candidate& one : open)
        asked.push_back(one.worker->listing.id);
    return asked;
}

void cell_coordinator::take_advice(const task_name& name, const std::vector<worker_id>& asked,
                                   instant sent, const std::optional<worker_advice>& advice) {
    advice_in_flight_ = false;
    placement_due_ = true;
    if (!advice) {
        next_advice_ = with_.time.now() + ask_again;
        log_event(log_level::warn, "advice_missing", {{"job", name.job.str()}});
        return;
    }
    task_work* const task = find_task(name);
    if (task == nullptr || !task->job->advice)
        return;
    log_event(log_level::info, "advice_taken",
              {{"job", name.job.str()},
               {"step", std::int64_t{name.step}},
               {"asked", static_cast<std::int64_t>(asked.size())},
               {"good", static_cast<std::int64_t>(advice->allowed.size())}});
    task->step->advice.apply_answer(asked, *advice, task->job->advice->ticket_validity, sent);
}

} // namespace figwinch
