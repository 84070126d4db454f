#pragma once

#include "cell/throttle_controller.h"
#include "cell/worker_clock.h"
#include "figwinch/cell/job_progress.h"
#include "figwinch/cell/task_name.h"
#include "figwinch/cell/worker_listing.h"
#include "figwinch/placement/candidate_index.h"

#include <map>
#include <optional>
#include <vector>

namespace figwinch {

struct task_state;

/// A run that was on a worker when it was lost, and may have crashed it.
struct lost_run {
    task_name task;
    run_number run;
    /// How long the run had been there.
    duration age{};
    crash_suspicion suspicion = crash_suspicion::weak;
};

/// The coordinator's state of a worker.
struct worker_state {
    worker_slot slot = 0;
    worker_listing listing;
    bool listed = false;
    /// Incarnation that reported last, by its start time; 0 before the first report.
    std::uint64_t born_ms = 0;
    worker_clock clock;
    /// Latest lease expiry that was ever ordered, by the worker's clock.
    std::int64_t latest_lease_expiry_ms = 0;
    /// Until when, by the worker's clock, this incarnation may hold a longer lease than any that
    /// was requested for it. Nothing if it can't.
    std::optional<std::int64_t> longer_lease_until_ms{};
    /// The log says that this incarnation may have tasks, so a successor will query it.
    bool registered = false;
    bool registering = false;
    /// The worker has reported under this epoch, so it rejects orders of earlier ones.
    bool reported_this_term = false;
    /// Another incarnation than `born_ms` has answered an order; its report is awaited.
    bool has_restarted = false;
    bool renewal_in_flight = false;
    /// Consecutive lease renewals without an answer. Until one is answered, the lease is not
    /// extended.
    int unanswered_renewals = 0;
    /// When the first of the unanswered renewals was noticed, after which this incarnation has not
    /// answered. Zero: it answers.
    instant lost_at{};
    /// The worker was lost when a trial had just begun on it.
    bool lost_at_trial_start = false;
    bool lost_runs_collected = false;
    std::vector<lost_run> lost_runs;
    /// Until when the worker takes no starts but that of a trial, and until when a trial on it
    /// lasts.
    instant held_until{};
    instant trial_until{};
    instant trial_started_at{};
    /// The log says that the lease is not renewed, or that record is being written.
    bool unresponsive = false;
    instant next_renewal{};
    instant reported_at{};
    /// A report had a run that its number does not identify: the next one must name the tasks.
    bool needs_task_names = false;
    /// Number of reports of the worker that were processed.
    std::uint64_t report_count = 0;
    /// Since when the worker's lease is certain to have expired; zero: it may be valid.
    instant lease_expired_since{};
    /// Ended runs up to number `ends_processed` were processed, up to `ends_recorded` recorded in
    /// the log.
    std::uint64_t ends_processed = 0;
    std::uint64_t ends_recorded = 0;
    /// The last report did not list all ended runs, or the listed ones wait to be processed.
    bool has_unread_ends = false;
    /// Resources allocated to runs here; of best-effort tasks only memory and accelerators.
    resources allocated;
    /// Resources of orphaned runs that are still here by the last report; nothing if unknown.
    std::optional<resources> orphaned = resources{};
    /// Resources reserved for service tasks that have no run on any worker.
    resources reserved;
    /// CPU that best-effort tasks here request, in thousandths of a core.
    std::int64_t best_effort_cpu = 0;
    /// The part of `best_effort_cpu` that service tasks request.
    std::int64_t best_effort_service_cpu = 0;
    /// CPU that service tasks here request, in thousandths of a core; part of `allocated`.
    std::int64_t service_cpu = 0;
    std::vector<task_state*> tasks;
    /// Quarantine after refusals or failures: no starts before this time.
    instant quarantined_until{};
    /// Consecutive failed runs of different jobs without a successful one between them.
    std::uint32_t consecutive_failures = 0;
    job_id last_failed_job;
    throttle_controller sharing;
    /// For placement: CPU share of each best-effort batch image at full speed, and number of tasks
    /// of each latency-critical image.
    std::vector<image_share> best_effort_images;
    std::map<image_number, int> latency_critical_images;
    /// The worker's entry in the candidate index while it accepts starts.
    worker_offer offer;
    /// Tags of the worker's labels and rack; the first ones of `offer.tags`.
    std::vector<tag_number> label_tags;
    /// The last candidate search that visited this worker.
    std::uint64_t last_search = 0;
};

} // namespace figwinch
