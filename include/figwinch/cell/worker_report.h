#pragma once

#include "figwinch/cell/queue_name.h"

#include <cstdint>
#include <string>
#include <vector>

namespace figwinch {

/// How a run ended, as its worker says.
enum class run_end {
    done,
    /// By its own fault or the worker's; counts against the job's attempts.
    failed,
    /// On our order.
    stopped,
    /// Its worker's lease ran out.
    lapsed,
    /// Another member of its gang ended.
    broken,
    /// It waited in vain for the other members of its gang.
    alone,
};

/// A run that a worker has.
struct running_row {
    /// May be empty where the answer needn't name it: `hold_order::names`.
    std::string task;
    run_number run;
    std::string checkpoint;
    /// How far a task with an end is; 100 for a lasting one that is at work.
    int percent = 0;
    /// Of a serving task the tail of its response times, ms; of others the processors in use,
    /// thousandths of a core. Covers about the last half second.
    std::int64_t recent = 0;
};

/// A run that has ended and that the worker keeps until it was noted.
struct ended_row {
    /// Counts the ends of one life of the worker.
    std::uint64_t number = 0;
    std::string task;
    run_number run;
    run_end how = run_end::done;
    std::string checkpoint;
};

/// A worker's answer to a hold: what it runs and what ended there.
struct worker_report {
    /// The worker's own steady clock when it answered.
    std::int64_t clock_ms = 0;
    std::uint64_t born_ms = 0;
    std::vector<running_row> running;
    std::vector<ended_row> ended;
};

} // namespace figwinch
