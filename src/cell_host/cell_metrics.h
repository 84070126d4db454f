#pragma once

#include "cell_host/cell_member.h"
#include "cell_host/cell_platform.h"
#include "cell_host/job_front.h"
#include "figwinch/observe.h"

#include <string>

namespace prometheus {
class Gauge;
class Histogram;
} // namespace prometheus

namespace figwinch {

/// The metrics of one host of a cell. Counts are read when they are asked for, so that nothing is
/// spent on them in between. Owned by `cell_host`.
class cell_metrics {
public:
    cell_metrics();

    /// How long a caller waited for the acceptance of a job.
    void observe_acceptance(duration waited);
    /// The body of GET /metrics.
    std::string expose(const cell_member& member, const job_front_counts& front,
                       const cell_platform& platform);

private:
    void set(const std::string& name, std::uint64_t value, const std::string& help);
    void set_ms(const std::string& name, duration span, const std::string& help);
    void set_reads(cell_stream stream, const stream_reads& reads);
    void set_intake(const intake_writer& writer);
    void set_coordinator(const coordinator_counts& counts);

    metrics registry_;
    prometheus::Histogram& acceptance_;
};

} // namespace figwinch
