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
    lapsed,
    /// Ended because another member of its gang ended.
    broken,
    /// Timed out while it waited for the other members of its gang to start.
    alone,
};

/// A run that exists on a worker.
struct running_row {
    /// The task name. May be empty if the report needn't have it; see `hold_order::names`.
    std::string task;
    run_number run;
    std::string checkpoint;
    /// The progress of the task in percent. Always 100 for a service task that is running.
    int percent = 0;
    /// For a service task with a latency target, its tail latency in ms; for other tasks, their CPU
    /// usage in thousandths of a core. Covers about the last half second.
    std::int64_t recent = 0;
};

/// The end of a run. The worker keeps it until the coordinator has acknowledged that it is stored.
struct ended_row {
    /// The sequence number of the end within one incarnation of the worker.
    std::uint64_t number = 0;
    std::string task;
    run_number run;
    run_end how = run_end::done;
    std::string checkpoint;
};

/// A worker's answer to a lease renewal: its runs, and the ends of runs that haven't been
/// acknowledged.
struct worker_report {
    /// The worker's steady clock when it answered, in ms.
    std::int64_t clock_ms = 0;
    std::uint64_t born_ms = 0;
    std::vector<running_row> running;
    std::vector<ended_row> ended;
};

} // namespace figwinch
