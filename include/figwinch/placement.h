#pragma once

/// Library `placement`: which queued task goes next and which worker takes it. No I/O.

#include "figwinch/placement/candidate_index.h"
#include "figwinch/placement/job_queue.h"
#include "figwinch/placement/shape_check.h"
#include "figwinch/placement/worker_index.h"
