#pragma once

/// Library `jobs`: the fold of the log's jobs stream, what an owner knows of its tasks, and when
/// the tasks of a dead owner may start again. No I/O.

#include "figwinch/jobs/job_book.h"
#include "figwinch/jobs/job_fold.h"
#include "figwinch/jobs/job_key.h"
#include "figwinch/jobs/job_record.h"
#include "figwinch/jobs/takeover_fence.h"
