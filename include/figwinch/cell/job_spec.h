#pragma once

#include "figwinch/cell/queue_name.h"
#include "figwinch/cell/step_spec.h"

#include <string>
#include <vector>

namespace figwinch {

/// A job as it was handed in, with what its queue promised then. Immutable once accepted.
struct job_spec {
    queue_name queue;
    /// Handed to every task as it is.
    std::string payload;
    std::vector<step_spec> steps;
    /// How often the steps run; 0: once, at once.
    std::uint32_t repeats = 0;
    /// When the first occurrence is due and how far the next ones are apart, ms since 1970 and ms.
    std::int64_t first_ms = 0;
    std::int64_t interval_ms = 0;
    service_id service;
    /// 0 goes first.
    std::uint32_t priority = 0;
    /// Failed runs of one task after which the job has failed.
    std::uint32_t attempts = 1;
    /// The objective: this many times the longest chain of work, and `target` more.
    double stretch = 1;
    duration target{};
    /// When it came, by the wall clock of the host that took it; the epoch: not known.
    wall_time accepted_at{};
};

/// Says what is wrong with the steps: `invalid_value` naming step and field, or nothing.
absl::Status check_job(const job_spec& job);

} // namespace figwinch
