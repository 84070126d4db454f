#pragma once

#include "figwinch/cell.h"
#include "figwinch/net.h"
#include "figwinch/observe.h"

#include <optional>
#include <string>

namespace figwinch {

/// Settings of one host of a cell; flags or environment variables.
struct cell_host_settings {
    std::string node;
    std::string data_centre;
    /// Where callers come in, where readiness is asked, where peers and metrics come in.
    endpoint callers;
    endpoint ready;
    endpoint bus;
    endpoint metrics;
    /// The platform's store.
    endpoint log;
    /// Who knows which workers may run a step, for queues whose policy asks.
    std::optional<endpoint> advisor;
    /// The share of a core that this process may use.
    double cpu_share = 1;
    /// What the host's own link carries, megabits a second.
    double link_mbps = 1000;
    duration grace{};
    cell_settings cell;
    log_level level = log_level::info;
};

/// Checks every flag; faults are named with flag, value, range and unit.
void check_cell_flags(settings_reader& reader);
cell_host_settings read_cell_flags();

} // namespace figwinch
