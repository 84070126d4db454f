#pragma once

#include "figwinch/cell/queue_name.h"
#include "figwinch/cell/worker_advisor.h"

#include <absl/container/flat_hash_set.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figwinch {

/// One queue of jobs: how callers address it, and the defaults and targets of its jobs.
struct queue_config {
    queue_name name;
    /// A request selects this queue by its Host header and by a path that begins with this prefix.
    /// The longest matching prefix wins.
    std::string host;
    std::string path_prefix;
    service_id service;
    std::uint32_t priority = 0;
    std::uint32_t max_attempts = 1;
    double stretch = 1;
    duration latency_target{};
    /// Set if the workers that may run this queue's steps are known to an external advisor only.
    std::optional<advisor_settings> advice;
};

/// One service: a pool of workers.
struct service_config {
    service_id name;
    /// The workers of this service reject tasks that exceed their capacity by themselves.
    bool enforces_capacity = false;
    /// The workers of this service are switched off.
    bool switched_off = false;
};

/// The configuration in force. Versions only increase; a newer version replaces the whole
/// configuration.
struct cell_config {
    config_version version;
    std::vector<queue_config> queues;
    std::vector<service_config> services;

    /// Returns the queue for a request: among the queues of this host the one with the longest
    /// prefix of the path. Null if there is none.
    const queue_config* match(std::string_view host, std::string_view path) const;
    const queue_config* find(const queue_name& name) const;
};

} // namespace figwinch
