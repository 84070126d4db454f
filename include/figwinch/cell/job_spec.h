#pragma once

#include "figwinch/cell/queue_name.h"
#include "figwinch/cell/step_spec.h"

#include <string>
#include <vector>

namespace figwinch {

/// A job as submitted, with the settings that its queue had at that time. Immutable once accepted.
struct job_spec {
    queue_name queue;
    /// Passed unchanged to every task.
    std::string payload;
    std::vector<step_spec> steps;
    /// The number of occurrences (executions of all steps). 0 means one occurrence, due
    /// immediately.
    std::uint32_t repeats = 0;
    /// When the first occurrence is due, in ms since 1970, and the interval between occurrences.
    std::int64_t first_due_ms = 0;
    std::int64_t interval_ms = 0;
    service_id service;
    /// Lower values are served first; 0 is the most urgent.
    std::uint32_t priority = 0;
    /// The job fails once any one of its tasks has had this many failed runs.
    std::uint32_t attempts = 1;
    /// The job should finish within `stretch` times its critical path (the longest chain of
    /// dependent steps, by estimated run times) plus `target`.
    double stretch = 1;
    duration target{};
    /// When the job was accepted, by the wall clock of the host that accepted it. The default value
    /// (1970) means unknown.
    wall_time accepted_at{};
};

/// Validates a job. Returns `invalid_value` with a message that names the offending step or field.
absl::Status validate_job(const job_spec& job);
/// Validates the number of a new job's tasks. Returns `invalid_value` with a message that names the
/// limit. Apart from `validate_job`, since accepted jobs stay valid.
absl::Status validate_job_size(const job_spec& job);

} // namespace figwinch
