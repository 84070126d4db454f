#pragma once

#include "figwinch/base.h"
#include "figwinch/config/manifest.h"

#include <optional>
#include <string>
#include <vector>

namespace figwinch {

/// Explains why no worker can ever run a task: the limits that the task exceeds and the worker
/// whose capacity comes closest.
struct shape_refusal {
    /// For example "cpu_millis 64000 exceeds 32000; nearest worker shape: ...".
    std::string reason;
    /// The worker that the task exceeds least; empty if the allowed data centres have no worker.
    worker_id nearest;
};

/// Checks that at least one worker in the allowed data centres (all, if the list is empty) could
/// hold the task when idle. Returns `std::nullopt` if one could, otherwise the reason for the
/// refusal. Unavailable data centres are included, since they are expected to recover.
std::optional<shape_refusal> check_shape(const manifest& config, const resources& size,
                                         const std::vector<data_centre_id>& allowed);

} // namespace figwinch
