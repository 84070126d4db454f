#pragma once

#include "figwinch/membership/member.h"
#include "wire.pb.h"

#include <absl/status/status.h>

#include <optional>

namespace figwinch {

/// The version of proto/wire.proto that this process speaks.
inline constexpr std::uint32_t peer_protocol = 1;

pb::MemberInfo to_message(const member& value);
/// Empty when the message names no node, incarnation, address or known role.
std::optional<member> from_message(const pb::MemberInfo& message);

/// A reply that carries nothing but an error.
pb::PeerReply error_reply(const absl::Status& error);

} // namespace figwinch
