#include "cell/cell_coordinator.h"
#include "figwinch/cell/record_codec.h"
#include "figwinch/observe.h"

#include <algorithm>

namespace figwinch {
namespace {

// The platform lists a live worker again within two seconds after its store comes back; some more
// heartbeats are left to it.
constexpr duration unlisted_kept = std::chrono::seconds(15);

} // namespace

void cell_coordinator::expire_leases() {
    const instant now = with_.time.now();
    for (const auto& [id, worker] : workers_) {
        const auto clock_ms = worker->clock.lower_bound(now);
        const std::int64_t slack = lapse_slack.count() / 1000;
        if (!clock_ms || *clock_ms < worker->latest_until_ms + slack)
            worker->over_since = instant{};
        else if (is_settled(worker->over_since))
            end_lease(*worker);
    }
}

/// Whether the log has confirmed this reign since a lease must have been over. A coordinator that
/// is parted from the log and from some workers sees their leases run out while its successor,
/// which it doesn't know of, prolongs them: what it started elsewhere would run twice. A renewal
/// that was confirmed later says that there was no successor.
bool cell_coordinator::is_settled(instant& since) const {
    if (since == instant{})
        since = with_.time.now();
    return with_.confirmed_at() > since;
}

bool cell_coordinator::log_confirms() const {
    return with_.time.now() - with_.confirmed_at() < fresh_reign;
}

/// Whether a start may go by what is known of workers and operators. While the log answers, that
/// may not be so old that notices have run out unseen. While it doesn't, no notice gets through.
bool cell_coordinator::sees_notices() const {
    return !log_confirms() || with_.sees_notices();
}

/// Its lease is over by any clock: nothing runs there but what a start that no report has shown may
/// have brought about, under a lease of its own.
void cell_coordinator::end_lease(worker_work& worker) {
    const worker_id& id = worker.listing.id;
    std::vector<task_work*> lost;
    std::int64_t kept_until_ms = 0;
    for (task_work* const task : worker.tasks) {
        if (task->run.may_live_until_ms > worker.latest_until_ms)
            kept_until_ms = std::max(kept_until_ms, task->run.may_live_until_ms);
        else
            lost.push_back(task);
    }
    if (!lost.empty())
        log_event(log_level::warn, "lease_over",
                  {{"worker", id.str()}, {"runs", static_cast<std::int64_t>(lost.size())}});
    for (task_work* const task : lost)
        release(*task);
    if (kept_until_ms > 0) {
        worker.latest_until_ms = kept_until_ms;
        worker.over_since = instant{};
        return;
    }
    // It answers again and is being recorded: its removal would come behind that, and the log would
    // not know a worker that is in use.
    if (worker.registering)
        return;
    // A successor needn't ask it, nor wait for it.
    if (!std::exchange(worker.registered, false))
        return;
    offer(worker);
    with_.journal.write({record_key(record_kind::worker, id.str()), std::nullopt, 0});
}

void cell_coordinator::forget_gone_workers() {
    const instant now = with_.time.now();
    std::vector<worker_id> gone;
    for (const auto& [id, worker] : workers_)
        if (!worker->listed && worker->tasks.empty() && !worker->hold_in_flight &&
            !worker->registering && now - worker->reported_at > unlisted_kept)
            gone.push_back(id);
    for (const worker_id& id : gone) {
        log_event(log_level::info, "worker_forgotten", {{"worker", id.str()}});
        with_.orders.forget(id);
        if (workers_[id]->registered)
            with_.journal.write({record_key(record_kind::worker, id.str()), std::nullopt, 0});
        drop_slot(*workers_[id]);
        workers_.erase(id);
    }
}

void cell_coordinator::resolve(const worker_id& id) {
    if (unresolved_.erase(id) == 0)
        return;
    placement_due_ = true;
    log_resolved();
}

/// Many workers report in the same moment: the marks are made anew once a round of starts. Marks of
/// a worker that has reported meanwhile only add doubt.
void cell_coordinator::mark_unresolved() {
    if (marked_unresolved_ == unresolved_.size())
        return;
    marked_unresolved_ = unresolved_.size();
    unresolved_marks_ = {};
    for (const auto& [id, until] : unresolved_)
        unresolved_marks_.add(id);
}

/// One line when the last worker of earlier reigns is accounted for.
void cell_coordinator::log_resolved() const {
    if (!unresolved_.empty())
        return;
    const duration after = with_.time.now() - began_;
    log_event(log_level::info, "workers_resolved",
              {{"epoch", static_cast<std::int64_t>(epoch_.value())},
               {"after_ms", static_cast<std::int64_t>(after.count() / 1000)}});
}

void cell_coordinator::resolve_expired() {
    // Confirmed since the bound has passed, for the same reason as in `is_settled`.
    const instant confirmed = with_.confirmed_at();
    const auto is_over = [confirmed](const auto& worker) {
        const bool over = confirmed > worker.second;
        if (over)
            log_event(log_level::warn, "worker_given_up", {{"worker", worker.first.str()}});
        return over;
    };
    if (absl::erase_if(unresolved_, is_over) == 0)
        return;
    placement_due_ = true;
    log_resolved();
}

/// Whether no earlier coordinator's run of the task can be anywhere but where reports show it. Only
/// the workers that the log names can have one: others, that are dark for seconds, don't hold it
/// back.
bool cell_coordinator::may_start(const task_work& task) const {
    if (unresolved_.empty() || !task.job->may_run_elsewhere || task.not_ordered)
        return true;
    if (task.job->any_worker_in_doubt)
        return false;
    if (has_own_record(*task.step->spec))
        return !unresolved_.contains(task.progress.assigned_worker);
    return !task.job->ordered_to.may_intersect(unresolved_marks_);
}

} // namespace figwinch
