#include "cell/cell_coordinator.h"
#include "figwinch/observe.h"

#include <algorithm>
#include <limits>

namespace figwinch {
namespace {

// Of the names that go into one message.
constexpr std::size_t most_not_ordered = 1000;

} // namespace

outstanding_orders cell_coordinator::outstanding() const {
    outstanding_orders left;
    const instant now = with_.time.now();
    for (const auto& [id, worker] : workers_)
        if (worker->heard || !worker->tasks.empty())
            left.held.push_back({id, time_left(*worker)});
    for (const auto& [id, until] : unresolved_)
        left.held.push_back({id, std::max(duration::zero(), until - now)});
    for (const job_work* const job : order_)
        list_not_ordered(*job, left.not_ordered);
    return left;
}

/// Until a worker's lease, and each start that no report has shown, is over by the slowest clock.
std::optional<duration> cell_coordinator::time_left(const worker_work& worker) const {
    const auto clock_ms = worker.clock.lower_bound(with_.time.now());
    if (!clock_ms)
        return std::nullopt;
    std::int64_t until_ms = worker.latest_until_ms;
    for (const task_work* const task : worker.tasks) {
        // Ordered on the clock of an earlier life.
        if (task->run.start_until_ms == std::numeric_limits<std::int64_t>::max())
            return std::nullopt;
        until_ms = std::max(until_ms, task->run.may_live_until_ms);
    }
    const std::chrono::milliseconds left(std::max<std::int64_t>(0, until_ms - *clock_ms));
    return std::chrono::duration_cast<duration>(left / slowest_clock) + lapse_slack;
}

void cell_coordinator::list_not_ordered(const job_work& job,
                                        std::vector<std::string>& names) const {
    for (const auto& [number, occurrence] : job.occurrences) {
        for (const step_work& step : occurrence->steps) {
            if (!has_own_record(*step.spec))
                continue;
            for (const task_work& task : step.tasks)
                if (names.size() < most_not_ordered && is_surely_not_ordered(task))
                    names.push_back(to_string(name_of(task)));
        }
    }
}

/// Whether the log may name a worker for the task on which no run of it can be.
bool cell_coordinator::is_surely_not_ordered(const task_work& task) const {
    const bool ordered = task.where != nullptr && !task.run.name.empty();
    return !ordered && !task.progress.assigned_worker.empty() && may_start(task);
}

/// What the predecessor knows of its own orders bounds them closer than the log does. A start that
/// reached another life of a worker isn't bounded by times on the clock of the life before.
void cell_coordinator::take_outstanding(const outstanding_orders& orders) {
    const instant now = with_.time.now();
    absl::flat_hash_map<worker_id, std::optional<duration>> left;
    for (const held_worker& held : orders.held) {
        const auto [known, added] = left.try_emplace(held.id, held.left);
        if (!added)
            known->second = held.left && known->second
                                ? std::optional(std::max(*held.left, *known->second))
                                : std::nullopt;
    }
    for (auto& [id, until] : unresolved_) {
        const auto held = left.find(id);
        const worker_work* const worker = find_worker(id);
        const bool reborn = worker != nullptr && is_other_life(id, worker->listing.incarnation);
        if (held != left.end() && held->second && !reborn)
            until = std::min(until, now + *held->second);
    }
    for (const std::string& name : orders.not_ordered) {
        const auto parsed = parse_task_name(name);
        if (task_work* const task = parsed ? find_task(*parsed) : nullptr)
            task->not_ordered = has_own_record(*task->step->spec);
    }
    placement_due_ = true;
    log_event(log_level::info, "predecessor_ended",
              {{"epoch", static_cast<std::int64_t>(epoch_.value())},
               {"workers", static_cast<std::int64_t>(orders.held.size())},
               {"tasks_not_ordered", static_cast<std::int64_t>(orders.not_ordered.size())}});
}

} // namespace figwinch
