#pragma once

#include "entry/final_answer.h"
#include "figwinch/net.h"

namespace figwinch {

/// The HTTP response for an answer; the one place where refusals are written (docs/PORTS.md).
http_response to_http(const final_answer& answer);
/// A response with a JSON body.
http_response json_response(int status, std::string body);

} // namespace figwinch
