#pragma once

/// Library `placement`: in-memory indexes that choose the next queued job and the worker to place
/// its tasks on. Performs no I/O.

#include "figwinch/placement/candidate_index.h"
#include "figwinch/placement/job_queue.h"
#include "figwinch/placement/shape_check.h"
#include "figwinch/placement/worker_index.h"
