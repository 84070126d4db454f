#pragma once

#include "figwinch/net/http_message.h"
#include "load.pb.h"

namespace figwinch::load {

/// The refusal in an answer; code -1 and the HTTP status as the name when it is none of ours.
pb::Refusal read_refusal(const http_response& response);

} // namespace figwinch::load
