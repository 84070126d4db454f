#pragma once

#include "load.pb.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <istream>
#include <string>
#include <vector>

namespace figwinch::load {

/// Events in order of their time.
using trace = std::vector<pb::TraceLine>;

/// Reads JSON lines. Errors: `invalid_value` with the number of the line.
absl::StatusOr<trace> read_trace(std::istream& in);

/// Independent arrivals of one kind of request.
struct poisson_settings {
    /// Requests a second.
    double rate = 100;
    double seconds = 10;
    std::uint64_t seed = 1;
    std::string service;
    std::string customer;
    bool idempotent = false;
    std::int64_t deadline_ms = 5000;
    std::int64_t work_ms = 10;
};

/// The same settings give the same trace.
trace poisson_trace(const poisson_settings& settings);

} // namespace figwinch::load
