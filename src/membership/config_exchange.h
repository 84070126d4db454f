#pragma once

#include "figwinch/config.h"
#include "membership/peer_service.h"

namespace figwinch {

/// Asks a peer for its configuration; goes into the constructor of `config_follower`.
config_follower::state_fetcher fetch_config_from(peer_service& peers, duration timeout);

/// Lets a follower and its peers' followers help each other: version and age go out with each
/// heartbeat, what peers say comes in, and requests for the state are answered. Call once, before
/// the loop runs; both have to outlive it.
void exchange_config(config_follower& follower, peer_service& peers, const clock& time);

} // namespace figwinch
