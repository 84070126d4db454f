#pragma once

#include "tools/experiment/class_load.h"
#include "tools/experiment/slow_log.h"
#include "tools/experiment/worker_loss.h"

#include <string>
#include <vector>

namespace figwinch::experiment {

/// A day's load and the cell that it is played on. Plain value, read from a file.
struct load_spec {
    /// The pattern in words.
    std::string pattern;
    /// How long jobs come.
    duration day = std::chrono::seconds(60);
    /// How long jobs may still end afterwards.
    duration settle = std::chrono::seconds(30);
    std::int64_t workers = 1;
    /// Workers belong to them in turn.
    std::int64_t data_centres = 1;
    double cores_per_worker = 16;
    std::int64_t memory_mib_per_worker = 65'536;
    /// Multiplies all that comes.
    double arrivals_factor = 1;
    /// Share of the tasks' first runs that fail; of the second ones, and so on.
    double failing = 0;
    /// A core of filling work multiplies the utilisation of serving tasks beside it by e to this.
    double slowdown_per_core = 0.1;
    /// Of each call to the log.
    duration log_delay = std::chrono::milliseconds(4);
    std::vector<class_load> classes;
    std::vector<worker_loss> losses;
    std::vector<slow_log> slow_logs;
};

} // namespace figwinch::experiment
