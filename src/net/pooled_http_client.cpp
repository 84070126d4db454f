#include "net/pooled_http_client.h"

#include <algorithm>
#include <utility>

namespace figwinch {

std::unique_ptr<http_client> http_client::create(event_loop& loop, const endpoint& server,
                                                 std::size_t max_connections) {
    return std::make_unique<pooled_http_client>(loop, server, max_connections);
}

pooled_http_client::pooled_http_client(event_loop& loop, endpoint server,
                                       std::size_t max_connections)
    : loop_(loop), server_(std::move(server)), max_connections_(max_connections) {}

void pooled_http_client::call(http_request request, const call_bounds& bounds, callback done) {
    connection_ptr connection = idle_connection();
    if (!connection)
        connection = new_connection();
    if (!connection) {
        loop_.post([weak = std::weak_ptr(alive_), done = std::move(done)] {
            if (!weak.expired())
                done({call_outcome::not_sent, {}, "no free connection"});
        });
        return;
    }
    const client_connection* const key = connection.get();
    connection->start(request, bounds,
                      [this, key, done = std::move(done)](call_result result, bool reusable) {
                          if (!reusable)
                              drop(key);
                          // Last, because `done` may destroy this client.
                          done(std::move(result));
                      });
}

pooled_http_client::connection_ptr pooled_http_client::idle_connection() {
    std::erase_if(connections_, [](const connection_ptr& connection) {
        return connection->is_idle() && !connection->is_usable();
    });
    connection_ptr newest;
    for (const connection_ptr& connection : connections_) {
        if (!connection->is_idle())
            continue;
        if (!newest || connection->idle_since() > newest->idle_since())
            newest = connection;
    }
    return newest;
}

pooled_http_client::connection_ptr pooled_http_client::new_connection() {
    if (connections_.size() >= max_connections_)
        return nullptr;
    auto connection = std::make_shared<client_connection>(loop_, server_);
    connection->on_idle_close([this, key = connection.get()] { drop(key); });
    connections_.push_back(connection);
    return connection;
}

void pooled_http_client::drop(const client_connection* connection) {
    std::erase_if(connections_, [connection](const connection_ptr& candidate) {
        return candidate.get() == connection;
    });
}

void pooled_http_client::close_idle(duration age) {
    const instant now = system_clock().now();
    std::erase_if(connections_, [now, age](const connection_ptr& connection) {
        return connection->is_idle() && now - connection->idle_since() >= age;
    });
}

} // namespace figwinch
