#pragma once

#include "tools/load/outcome.h"

#include "load.pb.h"

#include <ostream>
#include <string>
#include <vector>

namespace figwinch::load {

/// Quantiles by prometheus-cpp's summary (CKMS), with a rank error of at most 0.1%.
pb::LoadSummary summarise(const std::vector<request_outcome>& requests,
                          const std::vector<job_outcome>& jobs);

/// Each stated outcome that was missed, in words; none when all were met.
std::vector<std::string> compare(const pb::LoadSummary& summary,
                                 const pb::TraceExpectation& expected);

void print_summary(std::ostream& out, const pb::LoadSummary& summary);
/// One line for each request and job.
void write_csv(std::ostream& out, const std::vector<request_outcome>& requests,
               const std::vector<job_outcome>& jobs);
/// Median and p99 of each second of the run.
void write_svg(std::ostream& out, const std::vector<request_outcome>& requests);

} // namespace figwinch::load
