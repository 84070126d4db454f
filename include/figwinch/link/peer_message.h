#pragma once

#include <string>
#include <string_view>

namespace figwinch {

/// What a message between hosts of a cell is about; its first byte.
enum class peer_message : char {
    /// Callers' records for the cell's writer.
    handover = 'h',
    /// A host offers to pass orders on.
    offer = 'o',
    /// A coordinator's orders.
    exchange = 'x',
    /// A caller's question about jobs.
    question = 'q',
    /// A coordinator asks its predecessor to end its reign.
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
