#pragma once

#include "figwinch/net/http_server.h"

#include <absl/status/status.h>

#include <unordered_map>

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_connection;
struct evhttp_request;

namespace figwinch {

/// What the server and the responders of one connection share. evhttp answers the requests of a
/// connection one after the other, so at most one of them is with a handler.
struct server_connection {
    evhttp_connection* evcon = nullptr;
    /// The request that a handler has taken; null when none, or when the connection is closed.
    evhttp_request* taken = nullptr;
};

/// `http_server` by evhttp. Owns every connection of its callers.
class evhttp_server final : public http_server {
public:
    evhttp_server(event_loop& loop, const http_server_limits& limits, handler handle);
    ~evhttp_server() override;
    evhttp_server(const evhttp_server&) = delete;
    evhttp_server& operator=(const evhttp_server&) = delete;

    absl::Status bind(const std::string& address, std::uint16_t port);

    std::uint16_t port() const override { return port_; }
    void stop_accepting() override;
    std::size_t in_flight() const override;

private:
    using connection_map =
        std::unordered_map<evhttp_connection*, std::shared_ptr<server_connection>>;

    static void on_request(evhttp_request* request, void* self);
    static void on_close(evhttp_connection* connection, void* self);

    void take(evhttp_request* request);
    std::shared_ptr<server_connection> track(evhttp_connection* connection);

    http_server_limits limits_;
    handler handle_;
    evhttp* http_ = nullptr;
    evhttp_bound_socket* listener_ = nullptr;
    std::uint16_t port_ = 0;
    connection_map connections_;
    /// Shared with responders, which may outlive the server.
    std::shared_ptr<bool> stopping_ = std::make_shared<bool>(false);
};

} // namespace figwinch
