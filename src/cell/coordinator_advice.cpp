#include "cell/cell_coordinator.h"
#include "figwinch/observe.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace figwinch {
namespace {

// Maximum number of workers in an advice request. Each worker costs time, and the advisor handles
// one request at a time: enough for a step of usual width and some refusals.
constexpr std::size_t max_advice_workers = 30;
// Delay before the next advice request after one that was not answered or was rejected.
constexpr duration advice_retry_delay = std::chrono::milliseconds(300);
// Added to the response time that the queue's advice terms declare, for network delays. Requests of
// other hosts do not queue with those of this one.
constexpr duration advice_slack = std::chrono::milliseconds(700);
// Score bonus for workers that the advisor has approved, over those that it may refuse.
constexpr double approved_bonus = 100;

} // namespace

/// Returns whether the queue's policy allows a start of the step's tasks on the worker.
bool cell_coordinator::is_advised(const worker_state& worker, const job_state& job,
                                  const step_state& step) const {
    if (!job.advice)
        return true;
    return step.advice.ticket(worker.listing.id, worker.born_ms, deps_.time.now()) != nullptr;
}

/// Returns the advisor's ticket to send with a start order; binds it to the worker's current
/// incarnation.
std::string cell_coordinator::ticket_for(task_state& task, const worker_state& worker) const {
    if (!task.job->advice)
        return "";
    step_advice& advice = task.step->advice;
    advice.bind_incarnation(worker.listing.id, worker.born_ms);
    const std::string* const ticket =
        advice.ticket(worker.listing.id, worker.born_ms, deps_.time.now());
    return ticket == nullptr ? "" : *ticket;
}

/// Asks the advisor about the workers on which the task would be placed next. One request at a
/// time: placement order makes the steps of the most urgent jobs ask first.
void cell_coordinator::request_advice(job_state& job, const task_state& task) {
    const instant now = deps_.time.now();
    if (!job.advice || advice_in_flight_ || now < next_advice_)
        return;
    std::vector<worker_id> asked = advice_candidates(job, task);
    if (asked.empty())
        return;
    advice_in_flight_ = true;
    ++counts_.advice_calls;
    const advisor_settings& terms = *job.advice;
    const duration timeout =
        terms.time_per_call + terms.time_per_worker * static_cast<int>(asked.size()) + advice_slack;
    const task_name name = name_of(task);
    const std::string step = absl::StrCat(job.id.str(), ".", name.occurrence, ".", name.step);
    deps_.advisor.ask(step, asked, timeout,
                      [this, weak = std::weak_ptr(alive_), name, asked,
                       sent = now](const std::optional<worker_advice>& advice) {
                          if (!weak.expired() && !superseded_)
                              apply_advice(name, asked, sent, advice);
                      });
}

std::vector<worker_id> cell_coordinator::advice_candidates(const job_state& job,
                                                           const task_state& task) const {
    const instant now = deps_.time.now();
    const step_advice& known = task.step->advice;
    candidates open;
    for (const auto& [id, worker] : workers_) {
        if (!is_usable(*worker, job) || !admits(*worker, *task.step) ||
            !known.should_ask(id, worker->born_ms, now))
            continue;
        const double bonus = known.is_allowed(id) ? approved_bonus : 0;
        open.push_back({worker.get(), score(*worker, *task.step) + bonus});
    }
    std::ranges::sort(open, std::greater{}, &candidate::score);
    open.resize(std::min(open.size(), max_advice_workers));
    std::vector<worker_id> asked;
    asked.reserve(open.size());
    for (const candidate& one : open)
        asked.push_back(one.worker->listing.id);
    return asked;
}

void cell_coordinator::apply_advice(const task_name& name, const std::vector<worker_id>& asked,
                                    instant sent, const std::optional<worker_advice>& advice) {
    advice_in_flight_ = false;
    placement_due_ = true;
    if (!advice) {
        next_advice_ = deps_.time.now() + advice_retry_delay;
        log_event(log_level::warn, "advice_missing", {{"job", name.job.str()}});
        return;
    }
    task_state* const task = find_task(name);
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
