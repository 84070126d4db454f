#include "cell/cell_coordinator.h"
#include "figwinch/cell/record_codec.h"
#include "figwinch/observe.h"

#include <algorithm>

namespace figwinch {
namespace {

// Once the platform's store has recovered, a live worker is listed again within two seconds; the
// rest allows for several more heartbeats.
constexpr duration unlisted_retention = std::chrono::seconds(15);

} // namespace

void cell_coordinator::expire_leases() {
    const instant now = deps_.time.now();
    for (const auto& [id, worker] : workers_) {
        const auto clock_ms = worker->clock.lower_bound(now);
        const std::int64_t slack = lease_expiry_slack.count() / 1000;
        if (!clock_ms || *clock_ms < worker->latest_lease_expiry_ms + slack)
            worker->lease_expired_since = instant{};
        else if (is_confirmed_since(worker->lease_expired_since))
            handle_lease_expiry(*worker);
    }
}

/// Returns whether the log has confirmed this leadership term since a lease expired. A coordinator
/// that is disconnected from the log and from some workers sees their leases expire while a
/// successor that it does not know of renews them; the tasks that it restarted would run twice. A
/// later confirmation proves that there was no successor.
bool cell_coordinator::is_confirmed_since(instant& since) const {
    if (since == instant{})
        since = deps_.time.now();
    return deps_.confirmed_at() > since;
}

bool cell_coordinator::log_confirms() const {
    return deps_.time.now() - deps_.confirmed_at() < max_confirmation_age;
}

/// Returns whether a start may rely on the known notices of workers and operators. While the log
/// answers, they must be recent enough that no notice period can have ended unseen. While it does
/// not answer, no notice can be published either, but a worker's capacity can shrink.
bool cell_coordinator::has_current_notices() const {
    return log_confirms() ? deps_.has_current_notices() : deps_.has_current_capacities();
}

/// Handles an expiry of the worker's lease that is certain by any clock. No runs are left there,
/// except from start orders that no report has shown yet, which bring a lease of their own.
void cell_coordinator::handle_lease_expiry(worker_state& worker) {
    const worker_id& id = worker.listing.id;
    std::vector<task_state*> lost;
    std::int64_t remaining_until_ms = 0;
    for (task_state* const task : worker.tasks) {
        if (task->run.may_run_until_ms > worker.latest_lease_expiry_ms)
            remaining_until_ms = std::max(remaining_until_ms, task->run.may_run_until_ms);
        else
            lost.push_back(task);
    }
    if (!lost.empty())
        log_event(log_level::warn, "lease_over",
                  {{"worker", id.str()},
                   {"runs", static_cast<std::int64_t>(lost.size())},
                   {"born_ms", static_cast<std::int64_t>(worker.born_ms)},
                   {"lease_until_ms", worker.latest_lease_expiry_ms},
                   {"reported_ms_ago",
                    (deps_.time.now() - worker.reported_at) / std::chrono::milliseconds(1)}});
    if (!lost.empty() && worker.lost_at != instant())
        record_crash(worker, false);
    for (task_state* const task : lost) {
        log_lost_run(*task);
        release(*task);
    }
    if (remaining_until_ms > 0) {
        worker.latest_lease_expiry_ms = remaining_until_ms;
        worker.lease_expired_since = instant{};
        return;
    }
    // Its runs have ended with the lease, and ends that are read later do not count.
    mark_ends_read(id);
    // The worker answers again and is being recorded. A removal would follow that record, and the
    // log would not name a worker that is in use.
    if (worker.registering)
        return;
    // A successor need neither query the worker nor wait for it.
    if (!std::exchange(worker.registered, false))
        return;
    update_index(worker);
    record_idle(id, worker.born_ms);
}

/// Logs a run that ended unseen with its worker, and how long before the worker's last report it
/// was ordered: a run that crashes its worker is usually the youngest.
void cell_coordinator::log_lost_run(const task_state& task) {
    const worker_state& worker = *task.assigned_worker;
    const duration age = worker.reported_at - task.run.ordered_at;
    log_event(log_level::info, "run_lost",
              {{"task", to_string(name_of(task))},
               {"run", static_cast<std::int64_t>(task.run.number.value())},
               {"worker", worker.listing.id.str()},
               {"age_at_last_report_ms", static_cast<std::int64_t>(age.count() / 1000)}});
}

void cell_coordinator::remove_unlisted_workers() {
    const instant now = deps_.time.now();
    std::vector<worker_id> gone;
    for (const auto& [id, worker] : workers_)
        if (!worker->listed && worker->tasks.empty() && !worker->renewal_in_flight &&
            !worker->registering && !unresolved_.contains(id) &&
            now - worker->reported_at > unlisted_retention)
            gone.push_back(id);
    for (const worker_id& id : gone) {
        log_event(log_level::info, "worker_forgotten", {{"worker", id.str()}});
        deps_.orders.forget(id);
        remove_worker_record(id);
        stop_reading_ends(*workers_[id]);
        mark_ends_read(id);
        remove_slot(*workers_[id]);
        workers_.erase(id);
    }
    remove_unlisted_records();
}

/// Removes the records of workers that predecessors knew and that have not been listed in this
/// term. None of them has runs: each unresolved one is waited for.
void cell_coordinator::remove_unlisted_records() {
    if (deps_.time.now() - term_started_at_ <= unlisted_retention)
        return;
    std::vector<worker_id> gone;
    for (const worker_id& id : recorded_)
        if (!workers_.contains(id) && !unresolved_.contains(id))
            gone.push_back(id);
    for (const worker_id& id : gone)
        remove_worker_record(id);
}

/// The worker has reported in this term: what runs there is known, and what has ended there unless
/// some ended runs are unread.
void cell_coordinator::mark_resolved(const worker_state& worker) {
    const worker_id& id = worker.listing.id;
    const bool is_first_report = unresolved_.erase(id) > 0;
    if (is_first_report && worker.has_unread_ends)
        unread_.insert(id);
    else if (!worker.has_unread_ends)
        mark_ends_read(id);
    if (!is_first_report)
        return;
    placement_due_ = true;
    log_resolved();
}

void cell_coordinator::mark_ends_read(const worker_id& id) {
    if (unread_.erase(id) > 0)
        placement_due_ = true;
}

/// Rebuilds the marks of unresolved workers, once per placement round, since many workers report at
/// the same moment. Marks of workers that have reported since only make the check stricter; an
/// addition resets `marked_unresolved_`.
void cell_coordinator::update_unresolved_marks() {
    const std::size_t count = unresolved_.size() + unread_.size();
    if (marked_unresolved_ == count)
        return;
    marked_unresolved_ = count;
    unresolved_marks_ = {};
    for (const auto& [id, until] : unresolved_)
        unresolved_marks_.add(id);
    for (const worker_id& id : unread_)
        unresolved_marks_.add(id);
}

/// Logs when the last worker of earlier leadership terms is accounted for.
void cell_coordinator::log_resolved() const {
    if (!unresolved_.empty())
        return;
    const duration after = deps_.time.now() - term_started_at_;
    log_event(log_level::info, "workers_resolved",
              {{"epoch", static_cast<std::int64_t>(epoch_.value())},
               {"after_ms", static_cast<std::int64_t>(after.count() / 1000)}});
}

void cell_coordinator::resolve_expired() {
    // The log must have confirmed the term since then, for the reason given at
    // `is_confirmed_since`.
    const instant confirmed = deps_.confirmed_at();
    std::vector<worker_id> over;
    for (const auto& [id, until] : unresolved_)
        if (confirmed > until)
            over.push_back(id);
    if (over.empty())
        return;
    // In the order of ids, since that of the hash table varies between processes.
    std::ranges::sort(over);
    for (const worker_id& id : over) {
        log_event(log_level::warn, "worker_given_up", {{"worker", id.str()}});
        unresolved_.erase(id);
        const auto leased = leased_incarnations_.find(id);
        record_idle(id, leased == leased_incarnations_.end() ? 0 : leased->second);
    }
    placement_due_ = true;
    log_resolved();
}

/// Returns whether every run of the task from an earlier coordinator is known from reports or has
/// expired. Only the workers that the log names for the task can have one, so it does not wait for
/// other unresponsive workers.
bool cell_coordinator::may_start(const task_state& task) const {
    if ((unresolved_.empty() && unread_.empty()) || !task.job->may_have_earlier_runs ||
        task.not_ordered)
        return true;
    if (task.job->may_run_on_any_worker)
        return false;
    if (has_record_per_task(*task.step->spec))
        return !unresolved_.contains(task.progress.assigned_worker);
    return !task.job->ordered_to.may_intersect(unresolved_marks_);
}

} // namespace figwinch
