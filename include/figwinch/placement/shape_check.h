#pragma once

#include "figwinch/base.h"
#include "figwinch/config/manifest.h"

#include <optional>
#include <string>
#include <vector>

namespace figwinch {

/// Why a task can never run: the limit that it breaks and the nearest shape that exists.
struct shape_refusal {
    /// "cpu_millis 64000 is above 32000 of the largest worker; nearest worker: ...".
    std::string reason;
    /// The worker that the task comes closest to fitting.
    worker_id nearest;
};

/// Whether some worker of the allowed data centres (empty: any) could hold the task when idle;
/// nothing when one could. Data centres that are out count, since they come back.
std::optional<shape_refusal> check_shape(const manifest& config, const resources& size,
                                         const std::vector<data_centre_id>& allowed);

} // namespace figwinch
