#include "cell/cell_coordinator.h"
#include "figwinch/observe.h"

#include <algorithm>
#include <limits>

namespace figwinch {
namespace {

// Maximum number of task names in a step-down reply.
constexpr std::size_t max_not_ordered_names = 1000;

} // namespace

outstanding_orders cell_coordinator::outstanding() const {
    outstanding_orders left;
    for (const auto& [id, worker] : workers_)
        if (worker->reported_this_term || !worker->tasks.empty())
            left.unresolved_workers.push_back({id, time_left(*worker)});
    add_inherited(left);
    return left;
}

outstanding_orders cell_coordinator::outstanding_unreachable() const {
    outstanding_orders left;
    for (const auto& [id, worker] : workers_)
        if (worker->reported_this_term && worker->unanswered_renewals > 0)
            left.unresolved_workers.push_back({id, time_left(*worker)});
    add_inherited(left);
    return left;
}

/// Adds the workers of earlier terms that have not reported, and the tasks without any order.
void cell_coordinator::add_inherited(outstanding_orders& left) const {
    const instant now = deps_.time.now();
    for (const auto& [id, until] : unresolved_)
        left.unresolved_workers.push_back({id, std::max(duration::zero(), until - now)});
    for (const job_state* const job : open_jobs_)
        list_not_ordered(*job, left.not_ordered);
}

/// Returns the time until the worker's lease and all start orders that no report has shown have
/// expired by the slowest clock; nothing if that is unknown.
std::optional<duration> cell_coordinator::time_left(const worker_state& worker) const {
    const auto clock_ms = worker.clock.lower_bound(deps_.time.now());
    if (!clock_ms)
        return std::nullopt;
    std::int64_t until_ms = worker.latest_lease_expiry_ms;
    for (const task_state* const task : worker.tasks) {
        // The start order's expiry is on the clock of an earlier incarnation.
        if (task->run.start_expires_ms == std::numeric_limits<std::int64_t>::max())
            return std::nullopt;
        until_ms = std::max(until_ms, task->run.may_run_until_ms);
    }
    const std::chrono::milliseconds left(std::max<std::int64_t>(0, until_ms - *clock_ms));
    return std::chrono::duration_cast<duration>(left / min_clock_rate) + lease_expiry_slack;
}

void cell_coordinator::list_not_ordered(const job_state& job,
                                        std::vector<std::string>& names) const {
    for (const auto& [number, occurrence] : job.occurrences) {
        for (const step_state& step : occurrence->steps) {
            if (!has_record_per_task(*step.spec))
                continue;
            for (const task_state& task : step.tasks)
                if (names.size() < max_not_ordered_names && is_known_not_ordered(task))
                    names.push_back(to_string(name_of(task)));
        }
    }
}

/// Returns whether the log may name a worker for the task although no run of it can be there.
bool cell_coordinator::is_known_not_ordered(const task_state& task) const {
    const bool ordered = task.assigned_worker != nullptr && !task.run.name.empty();
    return !ordered && !task.progress.assigned_worker.empty() && may_start(task);
}

/// Applies the predecessor's own account of its orders, which gives tighter bounds than the log.
/// Times on the clock of one worker incarnation do not bound a start that reached another.
void cell_coordinator::apply_outstanding(const outstanding_orders& orders) {
    const instant now = deps_.time.now();
    absl::flat_hash_map<worker_id, std::optional<duration>> left;
    for (const unresolved_worker& held : merge_by_worker(orders.unresolved_workers))
        left.emplace(held.id, held.expires_in);
    for (auto& [id, until] : unresolved_) {
        const auto held = left.find(id);
        const worker_state* const worker = find_worker(id);
        const bool is_new_incarnation =
            worker != nullptr && is_other_incarnation(id, worker->listing.incarnation);
        if (held != left.end() && held->second && !is_new_incarnation)
            until = std::min(until, now + *held->second);
    }
    for (const std::string& name : orders.not_ordered) {
        const auto parsed = parse_task_name(name);
        if (task_state* const task = parsed ? find_task(*parsed) : nullptr)
            task->not_ordered = has_record_per_task(*task->step->spec);
    }
    placement_due_ = true;
    log_event(log_level::info, "predecessor_ended",
              {{"epoch", static_cast<std::int64_t>(epoch_.value())},
               {"workers", static_cast<std::int64_t>(orders.unresolved_workers.size())},
               {"tasks_not_ordered", static_cast<std::int64_t>(orders.not_ordered.size())}});
}

} // namespace figwinch
