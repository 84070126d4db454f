#pragma once

/// Library `cell`: one coordinator schedules tasks on all workers of a deployment. The coordinator
/// is elected through the durable log. The library holds the jobs of callers, the records of them
/// in the log, and the rules by which tasks are started, monitored, stopped and restarted. It does
/// no I/O: the log and the workers are reached through interfaces.

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
#include "figwinch/cell/leader_election.h"
#include "figwinch/cell/progress_writer.h"
#include "figwinch/cell/queue_name.h"
#include "figwinch/cell/record_codec.h"
#include "figwinch/cell/record_limits.h"
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
