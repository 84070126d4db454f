#include "cell/cell_coordinator.h"
#include "cell/job_estimate.h"
#include "figwinch/observe.h"

#include <algorithm>
#include <utility>

namespace figwinch {
namespace {

constexpr duration scarce_log_period = std::chrono::seconds(1);

bool has_waiting_tasks(const step_state& step) {
    return step.ready && step.assigned < step.unfinished;
}

} // namespace

/// Has the job's positions updated before the next placement round.
void cell_coordinator::mark_changed(job_state& job) {
    if (!std::exchange(job.requeue_due, true))
        changed_jobs_.push_back(&job);
}

/// Updates the prospects and positions of the jobs that have changed.
void cell_coordinator::requeue_changed() {
    for (job_state* const job : std::exchange(changed_jobs_, {})) {
        job->requeue_due = false;
        if (job->phase == job_phase::open)
            update_outlook(*job);
        queues_.move(*job, positions_of(*job));
    }
}

queue_positions cell_coordinator::positions_of(const job_state& job) {
    queue_positions positions;
    if (job.phase != job_phase::open)
        return positions;
    const service_order order = service_order_of(job);
    bool fills = false;
    for (const auto& [number, occurrence] : job.occurrences) {
        for (const step_state& step : occurrence->steps) {
            if (!has_waiting_tasks(step))
                continue;
            (step.spec->is_service ? positions.services : positions.batch) = order;
            fills = fills || (step.spec->is_best_effort && !step.spec->is_service);
        }
    }
    const std::string_view id = job.id.str();
    if (positions.batch)
        positions.waits = wait_order{job.prospect == job_prospect::lost, job.last_start_at, id};
    if (fills && job.assigned == 0)
        positions.idle =
            due_order{std::max(job.last_usual_run_at + max_idle_time, job.next_overdue_try),
                      job.priority, id};
    if (job.prospect != job_prospect::lost)
        positions.estimate = due_order{job.prospect_until, job.priority, id};
    return positions;
}

void cell_coordinator::update_due_estimates() {
    const instant now = deps_.time.now();
    for (const auto& [due, job] : queues_.estimates()) {
        if (due.at > now)
            break;
        ++counts_.jobs_examined;
        mark_changed(*job);
    }
    requeue_changed();
}

/// Logs, once a second, that placement rounds ended before all waiting tasks were looked at.
void cell_coordinator::log_scarce_starts() {
    const instant now = deps_.time.now();
    if (now < next_scarce_log_)
        return;
    next_scarce_log_ = now + scarce_log_period;
    const coordinator_counts before = std::exchange(logged_counts_, counts_);
    if (counts_.rounds_cut_short == before.rounds_cut_short || queues_.by_wait().empty())
        return;
    const instant last_start = queues_.by_wait().begin()->first.last_start_at;
    const auto since = [](std::uint64_t count, std::uint64_t earlier) {
        return static_cast<std::int64_t>(count - earlier);
    };
    log_event(log_level::info, "starts_scarce",
              {{"rounds", since(counts_.placement_rounds, before.placement_rounds)},
               {"cut_short", since(counts_.rounds_cut_short, before.rounds_cut_short)},
               {"starts", since(counts_.starts, before.starts)},
               {"jobs_examined", since(counts_.jobs_examined, before.jobs_examined)},
               {"workers_examined", since(counts_.workers_examined, before.workers_examined)},
               {"jobs_waiting", static_cast<std::int64_t>(queues_.batch().size())},
               {"longest_wait_ms", (now - last_start) / std::chrono::milliseconds(1)}});
}

} // namespace figwinch
