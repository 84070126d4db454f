#pragma once

/// Library `cell`: one coordinator for all workers of a deployment, elected through the durable
/// log. Holds the jobs of callers, what the log keeps of them, and the rules by which tasks are
/// started, watched, stopped and started again. Rules only; ports to the log and to workers are
/// interfaces.

#include "figwinch/cell/cell_config.h"
#include "figwinch/cell/cell_settings.h"
#include "figwinch/cell/cell_state.h"
#include "figwinch/cell/coordinator.h"
#include "figwinch/cell/coordinator_view.h"
#include "figwinch/cell/durable_log.h"
#include "figwinch/cell/job_entry.h"
#include "figwinch/cell/job_progress.h"
#include "figwinch/cell/job_spec.h"
#include "figwinch/cell/keyed_follower.h"
#include "figwinch/cell/progress_writer.h"
#include "figwinch/cell/queue_name.h"
#include "figwinch/cell/record_codec.h"
#include "figwinch/cell/reign.h"
#include "figwinch/cell/step_down.h"
#include "figwinch/cell/step_spec.h"
#include "figwinch/cell/stream_reads.h"
#include "figwinch/cell/task_name.h"
#include "figwinch/cell/worker_advisor.h"
#include "figwinch/cell/worker_entry.h"
#include "figwinch/cell/worker_fingerprints.h"
#include "figwinch/cell/worker_listing.h"
#include "figwinch/cell/worker_orders.h"
#include "figwinch/cell/worker_report.h"
