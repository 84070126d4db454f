#pragma once

#include "envelope.pb.h"

#include <zmq.hpp>

#include <optional>

namespace figwinch {

/// Version of the envelope; a message with another one is dropped.
constexpr std::uint32_t envelope_protocol = 1;

zmq::message_t pack(const pb::Envelope& envelope);
/// Returns nothing for foreign or malformed bytes.
std::optional<pb::Envelope> unpack_envelope(const zmq::message_t& part);

} // namespace figwinch
