#pragma once

#include "figwinch/cell.h"
#include "figwinch/net.h"
#include "figwinch/observe.h"

#include <optional>
#include <string>

namespace figwinch {

/// Settings of the daemon of one host, from command-line flags or environment variables.
struct cell_host_settings {
    std::string node;
    std::string data_centre;
    /// Listen addresses: the job API for callers, the readiness check, the bus to other hosts, and
    /// metrics.
    endpoint callers;
    endpoint ready;
    endpoint bus;
    endpoint metrics;
    /// Address of the platform's log.
    endpoint log;
    /// Address of the advisor, the service that tells which workers may run a step; used for queues
    /// whose policy requires it.
    std::optional<endpoint> advisor;
    /// CPU limit of this process, in cores.
    double cpu_share = 1;
    /// Bandwidth of this host's network link, Mbit/s.
    double link_mbps = 1000;
    /// From SIGTERM until the platform kills the process.
    duration grace{};
    cell_settings cell;
    log_level level = log_level::info;
};

/// Validates all flags. An error names the flag, its value, and the accepted range and unit.
void check_cell_flags(settings_reader& reader);
cell_host_settings read_cell_flags();

} // namespace figwinch
