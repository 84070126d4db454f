#pragma once

/// Library `jobs`: builds the job state from the log's `jobs` stream, tracks the tasks of the jobs
/// that a scheduler owns, and decides when the tasks of a failed owner may be restarted. No I/O.

#include "figwinch/jobs/job_book.h"
#include "figwinch/jobs/job_fold.h"
#include "figwinch/jobs/job_key.h"
#include "figwinch/jobs/job_record.h"
#include "figwinch/jobs/takeover_fence.h"
