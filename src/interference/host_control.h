#pragma once

#include "figwinch/base.h"
#include "interference/latency_signal.h"
#include "interference/request_rate.h"
#include "interference/throttle_ledger.h"

#include <optional>
#include <vector>

namespace figwinch {

/// What the controller keeps of one host.
struct host_control {
    struct service_state {
        service_id service;
        latency_signal signal{};
        request_rate rate{};
    };
    struct worst_service {
        service_id service;
        double ratio = 0;
        double load = 0;
    };
    /// The current service furthest above its target; none when no report is current.
    std::optional<worst_service> worst(instant now) const;
    /// The state of a service, made when missing.
    service_state& state_of(const service_id& service);
    /// When any service was last heard of; when the host was first seen if none ever was.
    instant last_heard() const;

    instant first_seen{};
    std::vector<service_state> services;
    throttle_ledger ledger;
    instant last_step{};
    instant last_release{};
    /// Since when the worst ratio has been below the release limit.
    std::optional<instant> calm_since;
    /// How long it has to stay calm now; grows when a release proved too early.
    duration calm_needed{};
    /// Steps in a row that found every task at its floor and the service still above its target.
    int steps_at_floor = 0;
};

} // namespace figwinch
