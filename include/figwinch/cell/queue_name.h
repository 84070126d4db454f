#pragma once

#include "figwinch/base.h"

#include <cstdint>

namespace figwinch {

/// Names a configured queue, to which callers submit jobs.
using queue_name = strong_string<struct queue_tag>;
/// Identifies a run, that is, one start of a task. A later start of the same task always has a
/// higher number, even under a later coordinator, because the high bits hold the coordinator's
/// epoch (see `run_sequence`).
using run_number = strong_number<struct run_tag>;

} // namespace figwinch
