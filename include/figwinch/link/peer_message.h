#pragma once

#include <string>
#include <string_view>

namespace figwinch {

/// The kind of a request between hosts of a cell; sent as the request's first byte.
enum class peer_message : char {
    /// Records from callers' requests, handed to the host that writes them to the cell's log.
    handover = 'h',
    /// A host offers to relay orders to workers.
    offer = 'o',
    /// A coordinator sends a batch of orders to a relay.
    exchange = 'x',
    /// A caller's query about jobs, forwarded to a read replica.
    question = 'q',
    /// A newly elected coordinator asks its predecessor to step down.
    step_down = 's',
};

inline std::string encode_peer_message(peer_message kind, std::string_view body) {
    std::string bytes;
    bytes.reserve(body.size() + 1);
    bytes += static_cast<char>(kind);
    bytes += body;
    return bytes;
}

} // namespace figwinch
