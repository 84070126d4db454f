#pragma once

#include "figwinch/net/http_message.h"

struct evbuffer;
struct evhttp_request;
struct evkeyvalq;

namespace figwinch {

/// The whole request that evhttp has received.
http_request read_request(evhttp_request* request);
/// The whole response that evhttp has received.
http_response read_response(evhttp_request* request);
/// Bytes of the request line's target and of the header lines.
std::size_t header_bytes(const http_request& request);

} // namespace figwinch
