#pragma once

#include "figwinch/base.h"

#include <optional>
#include <string>

namespace figwinch {

/// What a peer's heartbeat says of its view of the configuration.
struct peer_offer {
    /// Bus address to fetch from.
    std::string address;
    config_version version;
    /// Since the peer's own view was confirmed; empty: never.
    std::optional<duration> age;
    /// When this process asked, on its own clock.
    instant asked_at{};
};

} // namespace figwinch
