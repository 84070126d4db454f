#pragma once

#include "entry/entry_core.h"
#include "figwinch/observe.h"
#include "membership/peer_service.h"

#include <cstdint>
#include <string>
#include <vector>

namespace figwinch {

/// Everything that figwinch-entry is told on its command line.
struct entry_settings {
    std::string node;
    std::string data_centre;
    endpoint http;
    endpoint bus;
    /// The platform's log and host list.
    endpoint platform;
    std::vector<std::string> peers;
    entry_core_settings core;
    duration log_retention{};
    /// Between the stop signal and the end of taking requests, for the balancer to notice.
    duration drain_notice{};
    /// The longest a stop may take.
    duration drain_bound{};
    log_level level = log_level::info;
};

/// Adds a fault to `reader` for each flag that is out of range.
void check_entry_flags(settings_reader& reader);
/// The flags as settings; call only when they were accepted.
entry_settings read_entry_flags();

} // namespace figwinch
