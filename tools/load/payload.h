#pragma once

#include "figwinch/net/http_message.h"
#include "load.pb.h"

#include <string>

namespace figwinch::load {

/// The body that a request carries; unlike that of every other request.
std::string payload_of(const pb::TraceLine& line);
/// True when the answer is the whole answer to this very request.
bool answers(const http_response& response, const pb::TraceLine& line);

} // namespace figwinch::load
