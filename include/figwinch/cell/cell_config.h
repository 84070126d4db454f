#pragma once

#include "figwinch/cell/queue_name.h"
#include "figwinch/cell/worker_advisor.h"

#include <absl/container/flat_hash_set.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figwinch {

/// One queue: how callers reach it and what it promises.
struct queue_config {
    queue_name name;
    /// The Host header that selects it, and the longest path prefix that the path begins with.
    std::string host;
    std::string path_prefix;
    service_id service;
    std::uint32_t priority = 0;
    std::uint32_t attempts = 1;
    double stretch = 1;
    duration target{};
    /// Only an advisor knows which workers may run its steps.
    std::optional<advisor_settings> advice;
};

/// One service: a pool of workers.
struct service_config {
    service_id name;
    /// Its workers refuse by themselves what doesn't fit.
    bool guards_capacity = false;
    /// Its workers are switched off.
    bool spare = false;
};

/// The configuration in force. Versions only grow; a newer one replaces the whole.
struct cell_config {
    config_version version;
    std::vector<queue_config> queues;
    std::vector<service_config> services;

    /// The queue of a path: of the host's queues the one with the longest prefix.
    const queue_config* match(std::string_view host, std::string_view path) const;
    const queue_config* find(const queue_name& name) const;
};

} // namespace figwinch
