#pragma once

#include "figwinch/base/ids.h"

#include <absl/status/status.h>

namespace figwinch {

/// The error `log_truncated`, with the oldest offset that the log still keeps.
absl::Status log_truncated_error(log_offset first_kept);

/// That offset; 1 when the status does not carry it.
log_offset first_kept_of(const absl::Status& status);

} // namespace figwinch
