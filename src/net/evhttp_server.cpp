#include "net/evhttp_server.h"

#include "figwinch/base/result_code.h"
#include "net/evhttp_message.h"
#include "net/evhttp_responder.h"

#include <event2/event.h>
#include <event2/http.h>

#include <netinet/in.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

namespace figwinch {
namespace {

// evhttp answers what exceeds its own bounds with a page of its own (400 or 413). Its bounds are
// therefore wider than ours: what lies between gets our refusal, and memory stays bounded.
constexpr std::size_t evhttp_bound_factor = 2;

std::uint16_t bound_port(evhttp_bound_socket* listener) {
    sockaddr_storage address{};
    socklen_t size = sizeof(address);
    getsockname(evhttp_bound_socket_get_fd(listener), reinterpret_cast<sockaddr*>(&address), &size);
    if (address.ss_family == AF_INET6)
        return ntohs(reinterpret_cast<const sockaddr_in6*>(&address)->sin6_port);
    return ntohs(reinterpret_cast<const sockaddr_in*>(&address)->sin_port);
}

} // namespace

evhttp_server::evhttp_server(event_loop& loop, const http_server_limits& limits, handler handle)
    : limits_(limits), handle_(std::move(handle)), http_(evhttp_new(loop.base())) {
    evhttp_set_max_headers_size(
        http_, static_cast<ssize_t>(limits.max_header_bytes * evhttp_bound_factor));
    evhttp_set_max_body_size(http_,
                             static_cast<ssize_t>(limits.max_body_bytes * evhttp_bound_factor));
    // Read the rest of an oversize body before closing: a close with unread bytes resets the
    // connection and can take our answer with it.
    evhttp_set_flags(http_, EVHTTP_SERVER_LINGERING_CLOSE);
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(limits.read_timeout);
    const timeval timeout{seconds.count(), (limits.read_timeout - seconds).count()};
    evhttp_set_timeout_tv(http_, &timeout);
    evhttp_set_gencb(http_, &evhttp_server::on_request, this);
}

evhttp_server::~evhttp_server() {
    evhttp_free(http_);
}

absl::Status evhttp_server::bind(const std::string& address, std::uint16_t port) {
    listener_ = evhttp_bind_socket_with_handle(http_, address.c_str(), port);
    if (listener_ == nullptr) {
        const std::string where = address + ":" + std::to_string(port);
        return make_error(result_code::setting_invalid, "can't listen on " + where);
    }
    port_ = bound_port(listener_);
    return absl::OkStatus();
}

void evhttp_server::stop_accepting() {
    *stopping_ = true;
    if (listener_ == nullptr)
        return;
    evhttp_del_accept_socket(http_, listener_);
    listener_ = nullptr;
}

std::size_t evhttp_server::in_flight() const {
    const auto taken = std::ranges::count_if(
        connections_, [](const auto& entry) { return entry.second->taken != nullptr; });
    return static_cast<std::size_t>(taken);
}

std::shared_ptr<server_connection> evhttp_server::track(evhttp_connection* connection) {
    const auto known = connections_.find(connection);
    if (known != connections_.end())
        return known->second;
    auto entry = std::make_shared<server_connection>();
    entry->evcon = connection;
    connections_.emplace(connection, entry);
    evhttp_connection_set_closecb(connection, &evhttp_server::on_close, this);
    return entry;
}

void evhttp_server::on_close(evhttp_connection* connection, void* self) {
    auto* const server = static_cast<evhttp_server*>(self);
    const auto entry = server->connections_.find(connection);
    if (entry == server->connections_.end())
        return;
    entry->second->taken = nullptr;
    entry->second->evcon = nullptr;
    server->connections_.erase(entry);
}

void evhttp_server::on_request(evhttp_request* request, void* self) {
    static_cast<evhttp_server*>(self)->take(request);
}

void evhttp_server::take(evhttp_request* request) {
    const auto connection = track(evhttp_request_get_connection(request));
    connection->taken = request;
    auto responder = std::make_shared<evhttp_responder>(connection, stopping_);
    if (connections_.size() > limits_.max_connections) {
        responder->refuse(result_code::queue_full, limits_.max_connections, "connections");
        return;
    }
    http_request message = read_request(request);
    if (header_bytes(message) > limits_.max_header_bytes) {
        responder->refuse(result_code::header_too_large, limits_.max_header_bytes, "bytes");
        return;
    }
    if (message.body.size() > limits_.max_body_bytes) {
        responder->refuse(result_code::body_too_large, limits_.max_body_bytes, "bytes");
        return;
    }
    handle_(std::move(message), std::move(responder));
}

} // namespace figwinch
