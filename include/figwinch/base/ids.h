#pragma once

#include "figwinch/base/strong_number.h"
#include "figwinch/base/strong_string.h"

namespace figwinch {

/// A data centre, as the manifest names it.
using data_centre_id = strong_string<struct data_centre_tag>;
/// A customer: a studio, a haulier, a team. Quotas and fairness are per customer.
using customer_id = strong_string<struct customer_tag>;
/// A service of the manifest that answers interactive requests.
using service_id = strong_string<struct service_tag>;
/// One interactive request, chosen by its caller and unique per customer; a resend repeats it.
using request_id = strong_string<struct request_tag>;
/// One batch job, chosen by its submitter and unique per customer.
using job_id = strong_string<struct job_tag>;
/// One task of a job, `<job>/<index>`.
using task_id = strong_string<struct task_tag>;
/// The job template that a submitter copied; declared sizes are learned per customer and template.
using template_id = strong_string<struct template_tag>;
/// A worker: a host that runs tasks under leases.
using worker_id = strong_string<struct worker_tag>;
/// An executor: a back end that answers interactive requests.
using executor_id = strong_string<struct executor_tag>;
/// A rack inside a data centre.
using rack_id = strong_string<struct rack_tag>;
/// One of figwinch's own processes, the same after a restart at the same place.
using node_id = strong_string<struct node_tag>;
/// One run of a process: `<node>#<random>`. A restarted process has another incarnation.
using incarnation_id = strong_string<struct incarnation_tag>;
/// Identifies one append, so that an append whose acknowledgement was lost is not folded twice.
using record_id = strong_string<struct record_tag>;

/// The position of a record in one stream of the log; the first record has offset 1.
using log_offset = strong_number<struct log_offset_tag>;
/// The version of the accepted configuration; grows by one with every accepted change.
using config_version = strong_number<struct config_version_tag>;
/// The epoch of a lease on a worker; grows with every change of holder.
using lease_epoch = strong_number<struct lease_epoch_tag>;
/// The number of a task's attempt; the first is 1.
using attempt_number = strong_number<struct attempt_tag>;

} // namespace figwinch
