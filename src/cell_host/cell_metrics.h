#pragma once

#include "cell_host/cell_member.h"
#include "cell_host/cell_platform.h"
#include "cell_host/job_api.h"
#include "figwinch/observe.h"

#include <string>

namespace prometheus {
class Gauge;
class Histogram;
} // namespace prometheus

namespace figwinch {

/// Metrics of one host of a cell. Counters are collected only when the metrics are scraped, so they
/// cost nothing in between. Owned by `cell_host`.
class cell_metrics {
public:
    cell_metrics();

    /// Records the time from a submission's arrival to its acceptance.
    void observe_acceptance(duration waited);
    /// Returns the body of GET /metrics.
    std::string expose(const cell_member& member, const job_api_counts& front,
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
