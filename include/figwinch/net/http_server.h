#pragma once

#include "figwinch/base/clock.h"
#include "figwinch/net/event_loop.h"
#include "figwinch/net/http_message.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace figwinch {

/// Bounds of an HTTP server; evhttp sets none by itself.
struct http_server_limits {
    std::size_t max_header_bytes = std::size_t{16} * 1024;
    std::size_t max_body_bytes = std::size_t{1024} * 1024;
    /// How long a connection may be silent in mid-request before it is closed.
    duration read_timeout = std::chrono::seconds(30);
    /// A request on a connection beyond these is refused with `queue_full` and the connection is
    /// closed. Connections that send no request are closed by `read_timeout` alone.
    std::size_t max_connections = 4096;
};

/// Answers one request, once. Dropping it unanswered answers `internal_error`. Copies share the
/// one answer. If the caller has gone away, the answer is dropped.
class http_responder {
public:
    virtual ~http_responder() = default;
    virtual void respond(http_response response) = 0;
    /// False once the caller's connection is known to be closed.
    virtual bool is_open() const = 0;
};

/// An HTTP/1.1 server by evhttp with keep-alive. A header or body beyond its limit is refused with
/// 431 or 413 and our refusal body; beyond twice the limit evhttp itself answers 400 or 413. Owned
/// by the daemon; handlers run on the loop.
class http_server {
public:
    using handler = std::function<void(http_request, std::shared_ptr<http_responder>)>;

    /// Listens on `address`:`port` (port 0 takes a free one). Errors: `setting_invalid`.
    static absl::StatusOr<std::unique_ptr<http_server>>
    listen(event_loop& loop, const std::string& address, std::uint16_t port,
           const http_server_limits& limits, handler handle);
    virtual ~http_server() = default;

    virtual std::uint16_t port() const = 0;
    /// Stops accepting connections and closes each open one after its current answer, or after the
    /// next when it is idle: a request may be on its way, and closing would cut it.
    virtual void stop_accepting() = 0;
    /// Requests that a handler has taken and not yet answered.
    virtual std::size_t in_flight() const = 0;
};

} // namespace figwinch
