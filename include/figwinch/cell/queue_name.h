#pragma once

#include "figwinch/base.h"

#include <cstdint>

namespace figwinch {

/// A queue of the configuration: where callers hand in jobs.
using queue_name = strong_string<struct queue_tag>;
/// Numbers the starts of tasks. A later start of a task always has a higher number, across
/// coordinators too: the epoch stands in the high part (see `run_sequence`).
using run_number = strong_number<struct run_tag>;

} // namespace figwinch
