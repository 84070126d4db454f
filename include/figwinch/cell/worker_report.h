#pragma once

#include "figwinch/cell/queue_name.h"

#include <cstdint>
#include <string>
#include <vector>

namespace figwinch {

/// How a run ended, as reported by its worker.
enum class run_end {
    done,
    /// Failed because of the task or the worker. Counts against `job_spec::attempts`.
    failed,
    /// Stopped by order of the coordinator.
    stopped,
    /// Ended because the worker's lease expired.
    lease_expired,
    /// Ended because another member of its gang ended.
    gang_ended,
    /// Timed out while it waited for the other members of its gang to start.
    gang_timeout,
};

/// A run that exists on a worker.
struct active_run {
    /// The task name. May be empty if the report needn't have it; see
    /// `renewal_order::require_names`.
    std::string task;
    run_number run;
    std::string checkpoint;
    /// The progress of the task in percent. Always 100 for a service task that is running.
    int progress_percent = 0;
    /// For a service task with a latency target, its tail latency in ms; for other tasks, their CPU
    /// usage in thousandths of a core. Covers about the last half second.
    std::int64_t latency_ms_or_cpu_millis = 0;
};

/// The end of a run. The worker keeps it until the coordinator has acknowledged that it is stored.
struct ended_run {
    /// The sequence number of the end within one incarnation of the worker.
    std::uint64_t sequence = 0;
    std::string task;
    run_number run;
    run_end reason = run_end::done;
    std::string checkpoint;
};

/// A worker's answer to a lease renewal: its runs, and the ends of runs that haven't been
/// acknowledged.
struct worker_report {
    /// The worker's steady clock when it answered, in ms.
    std::int64_t clock_ms = 0;
    std::uint64_t incarnation = 0;
    std::vector<active_run> running;
    std::vector<ended_run> ended;
    /// The worker may have ended runs after those in `ended`, so a run that the report shows
    /// neither as active nor as ended is not proved to be unknown to the worker.
    bool has_more_ended = false;
};

} // namespace figwinch
