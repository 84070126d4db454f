#include "net/evhttp_server.h"

namespace figwinch {

absl::StatusOr<std::unique_ptr<http_server>>
http_server::listen(event_loop& loop, const std::string& address, std::uint16_t port,
                    const http_server_limits& limits, handler handle) {
    auto server = std::make_unique<evhttp_server>(loop, limits, std::move(handle));
    const absl::Status bound = server->bind(address, port);
    if (!bound.ok())
        return bound;
    return server;
}

} // namespace figwinch
