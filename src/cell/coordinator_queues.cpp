#include "cell/cell_coordinator.h"
#include "cell/job_estimate.h"
#include "figwinch/observe.h"

#include <algorithm>
#include <utility>

namespace figwinch {
namespace {

// Maximum number of starts per placement round. The rest follows in the next one, so that reports
// are processed in between.
constexpr std::uint64_t max_starts_per_round = 40;
// Starts that a round has left for new service tasks when batch tasks have used its limit.
constexpr std::uint64_t first_start_reserve = 8;
// Bounds on the work of a pass that isn't a start: jobs looked at, and workers looked at by
// searches that find none.
constexpr std::size_t max_jobs_per_pass = 256;
constexpr std::int64_t failed_visits_per_ms = 500;
constexpr std::int64_t min_failed_visits = 4'000;
constexpr std::int64_t max_failed_visits = 16'000;
// Aging: a job that has waited this long without a start has a share of the starts of batch tasks,
// whatever its place in the scheduling order; bounds on the starts that may be due, and on the jobs
// looked at in a round.
constexpr duration min_aging_wait = std::chrono::seconds(2);
constexpr double aging_share = 0.25;
constexpr double max_aging_credit = 40;
constexpr std::size_t max_aging_jobs = 16;
// One round in this many serves waiting jobs whose prospect is lost, so that they end too.
constexpr std::uint64_t rounds_per_lost_job = 4;
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
        ++counts_.jobs_examined;
        job->requeue_due = false;
        if (job->phase == job_phase::open)
            update_outlook(*job);
        const bool was_waiting = job->positions.batch.has_value();
        queue_positions wanted = positions_of(*job);
        if (wanted.waits && !was_waiting)
            wanted.waits->waiting_since = job->waiting_since =
                job->waiting_since == instant{} ? job->submitted_at : deps_.time.now();
        queues_.move(*job, wanted);
    }
}

queue_positions cell_coordinator::positions_of(const job_state& job) {
    queue_positions positions;
    if (job.phase != job_phase::open)
        return positions;
    const service_order order = service_order_of(job);
    bool has_best_effort = false;
    for (const auto& [number, occurrence] : job.occurrences) {
        for (const step_state& step : occurrence->steps) {
            if (!has_waiting_tasks(step))
                continue;
            (step.spec->is_service ? positions.services : positions.batch) = order;
            has_best_effort =
                has_best_effort || (step.spec->is_best_effort && !step.spec->is_service);
        }
    }
    const std::string_view id = job.id.str();
    if (positions.batch)
        positions.waits = wait_order{job.prospect == job_prospect::lost, job.waiting_since, id};
    if (has_best_effort && job.usual_runs == 0) {
        const instant idle_since = job.assigned == 0
                                       ? job.last_usual_run_at
                                       : std::max(job.last_usual_run_at, job.last_overdue_start_at);
        positions.idle =
            due_order{std::max(idle_since + max_idle_time, job.next_overdue_try), job.priority, id};
    }
    if (job.prospect != job_prospect::lost)
        positions.estimate = due_order{job.prospect_until, job.priority, id};
    return positions;
}

void cell_coordinator::update_due_estimates() {
    const instant now = deps_.time.now();
    for (const auto& [due, job] : queues_.estimates()) {
        if (due.at > now)
            break;
        mark_changed(*job);
    }
    requeue_changed();
}

/// Returns the limits of a round. What failed searches may take follows the time since the last
/// round, so that rounds in quick succession don't repeat them.
cell_coordinator::round_limits cell_coordinator::limits_of_round(duration elapsed) const {
    const std::int64_t elapsed_ms = elapsed / std::chrono::milliseconds(1);
    const std::int64_t visits =
        std::clamp(elapsed_ms * failed_visits_per_ms, min_failed_visits, max_failed_visits);
    return {counts_.starts + max_starts_per_round, static_cast<std::uint64_t>(visits)};
}

std::uint64_t cell_coordinator::starts_so_far() const {
    return counts_.starts + unrecorded_starts_.size();
}

/// Starts batch tasks: first of the jobs that have waited longest, as far as their share of the
/// starts allows, then in scheduling order.
bool cell_coordinator::place_batch(const round_limits& limits) {
    place_longest_waiting();
    const std::uint64_t before = starts_so_far();
    const bool complete = place_in_order(queues_.batch(), placement_pass::batch_tasks, limits);
    const auto started = static_cast<double>(starts_so_far() - before);
    starts_limited_ = starts_so_far() >= limits.max_starts;
    // Where room is what lacks, starts for old jobs would only take it from jobs in time.
    const double earned = starts_limited_ ? started * aging_share : 0;
    aging_credit_ = std::min(max_aging_credit, aging_credit_ + earned);
    return complete;
}

/// Starts tasks of the jobs that have waited for a start for longest, while the limit on starts
/// decides who is served. In scheduling order alone, a large job would wait for as long as smaller
/// ones keep coming. A job starts all its ready tasks at once; what exceeds the credit is made up
/// for by later rounds.
void cell_coordinator::place_longest_waiting() {
    if (!starts_limited_ || aging_credit_ < 1)
        return;
    const bool lost = ++aging_rounds_ % rounds_per_lost_job == 0;
    const ordered_jobs<wait_order>& waiting = queues_.by_wait();
    const instant now = deps_.time.now();
    aging_cursor& cursor = aging_cursors_.at(lost ? 1 : 0);
    auto next = waiting.upper_bound({lost, cursor.waiting_since, cursor.id});
    for (std::size_t examined = 0; examined < max_aging_jobs && aging_credit_ >= 1;
         ++examined, ++next) {
        if (next == waiting.end() || next->first.lost != lost ||
            now - next->first.waiting_since < min_aging_wait) {
            cursor = {};
            return;
        }
        ++counts_.jobs_examined;
        const std::uint64_t before = starts_so_far();
        place_job(*next->second, placement_pass::batch_tasks);
        const std::uint64_t started = starts_so_far() - before;
        aging_credit_ -= static_cast<double>(started);
        // The next round goes on after the jobs that can't start.
        if (started == 0)
            cursor = {next->first.waiting_since, std::string(next->first.id)};
    }
}

/// Starts the tasks of one pass, job by job. Returns false if not all jobs were looked at: the
/// limit on starts was reached, or too many jobs couldn't start. The next round then looks at the
/// first jobs again, and goes on where this one ended.
bool cell_coordinator::place_in_order(const ordered_jobs<service_order>& waiting,
                                      placement_pass pass, const round_limits& limits) {
    std::optional<service_order>& cursor = round_cursors_.at(static_cast<std::size_t>(pass));
    const bool is_first = pass == placement_pass::service_restarts;
    const bool is_last = pass == placement_pass::service_first_starts;
    const std::uint64_t max_starts =
        is_last ? std::max(limits.max_starts, starts_so_far() + first_start_reserve)
                : limits.max_starts;
    // Services that ran before are down while they wait.
    const std::uint64_t max_failed =
        is_first ? std::uint64_t{max_failed_visits} : limits.max_failed_visits;
    const std::uint64_t failed_before = failed_visits_;
    std::size_t examined = 0;
    bool has_jumped = false;
    for (auto next = waiting.begin(); next != waiting.end(); ++next) {
        const std::uint64_t failed = failed_visits_ - failed_before;
        const bool half_done = examined >= max_jobs_per_pass / 2 || failed >= max_failed / 2;
        if (half_done && cursor && next->first < *cursor) {
            next = waiting.lower_bound(*cursor);
            has_jumped = true;
        }
        if (next == waiting.end())
            break;
        if (starts_so_far() >= max_starts)
            return false;
        if (examined++ == max_jobs_per_pass || failed >= max_failed) {
            cursor = next->first;
            // The job, which owns the text, may be gone by the next round.
            cursor->id = {};
            return false;
        }
        ++counts_.jobs_examined;
        place_job(*next->second, pass);
    }
    cursor.reset();
    return !has_jumped;
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
    const auto first_lost = queues_.by_wait().lower_bound({true, instant::min(), {}});
    instant since_start = queues_.by_wait().begin()->first.waiting_since;
    if (first_lost != queues_.by_wait().end())
        since_start = std::min(since_start, first_lost->first.waiting_since);
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
               {"longest_wait_ms", (now - since_start) / std::chrono::milliseconds(1)}});
}

} // namespace figwinch
