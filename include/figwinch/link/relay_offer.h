#pragma once

#include "figwinch/base.h"
#include "figwinch/link/replica_list.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figwinch {

/// A host's offer to relay the coordinator's orders to workers of its data centre.
struct relay_offer {
    incarnation_id incarnation;
    std::string bus_address;
    data_centre_id data_centre;
    /// Number of workers to which the host can relay orders.
    std::uint32_t worker_capacity = 0;
    /// The host is about to stop and must get no new orders.
    bool leaving = false;
    /// The host holds a complete copy of the cell's jobs.
    bool has_job_copy = false;
    /// `replica_list::digest` of the host's list of read replicas; 0 without a list.
    std::uint64_t replicas_digest = 0;
};

/// Whether a host answers queries about jobs from its own copy of them, as a read replica, or
/// forwards the queries to read replicas.
enum class read_mode { undecided, replica, forwarding };

/// The coordinator's answer to an offer.
struct offer_reply {
    /// Whether the coordinator uses the host as a relay.
    bool used_as_relay = false;
    read_mode mode = read_mode::undecided;
    /// Whether the replying host is the coordinator.
    bool from_coordinator = false;
    /// The current read replicas; nothing if the host has the current list already.
    std::optional<replica_list> replicas;
};

/// Number of workers to which a host can relay orders beside its other work.
/// `cpu_share`: the host's share of one core; `link_mbps`: its network bandwidth, Mbit/s.
std::uint32_t relay_capacity(double cpu_share, double link_mbps);

std::string encode_offer(const relay_offer& offer);
/// Returns nothing if `bytes` is no valid offer.
std::optional<relay_offer> decode_offer(std::string_view bytes);

std::string encode_offer_reply(const offer_reply& reply);
/// Returns nothing if `bytes` is no valid reply to an offer.
std::optional<offer_reply> decode_offer_reply(std::string_view bytes);

} // namespace figwinch
