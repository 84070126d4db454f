#include "net/pooled_http_client.h"

#include <algorithm>
#include <functional>
#include <iterator>
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
    if (!connection)
        return refuse("no free connection", std::move(done));
    send(connection, request, bounds, std::move(done));
}

std::vector<kept_connection> pooled_http_client::free_connections() {
    remove_closed();
    std::vector<connection_ptr> free;
    std::ranges::copy_if(connections_, std::back_inserter(free), [](const connection_ptr& known) {
        return known->is_idle() && known->kept_since();
    });
    std::ranges::sort(free, std::greater(), &client_connection::idle_since);
    std::vector<kept_connection> kept;
    kept.reserve(free.size());
    for (const connection_ptr& connection : free)
        kept.push_back({connection->id(), *connection->kept_since()});
    return kept;
}

void pooled_http_client::call_over(connection_id connection, http_request request,
                                   const call_bounds& bounds, callback done) {
    remove_closed();
    const auto known = std::ranges::find(connections_, connection, &client_connection::id);
    if (known == connections_.end() || !(*known)->is_idle())
        return refuse("connection closed or busy", std::move(done));
    const connection_ptr kept = *known;
    send(kept, request, bounds, std::move(done));
}

void pooled_http_client::send(const connection_ptr& connection, const http_request& request,
                              const call_bounds& bounds, callback done) {
    const client_connection* const key = connection.get();
    connection->start(request, bounds,
                      [this, key, done = std::move(done)](call_result result, bool reusable) {
                          if (!reusable)
                              drop(key);
                          // Last, because `done` may destroy this client.
                          done(std::move(result));
                      });
}

void pooled_http_client::refuse(const char* reason, callback done) {
    loop_.post([weak = std::weak_ptr(alive_), reason, done = std::move(done)] {
        if (!weak.expired())
            done({call_outcome::not_sent, {}, reason});
    });
}

void pooled_http_client::remove_closed() {
    std::erase_if(connections_, [](const connection_ptr& connection) {
        return connection->is_idle() && !connection->is_usable();
    });
}

pooled_http_client::connection_ptr pooled_http_client::idle_connection() {
    remove_closed();
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
    last_connection_ = last_connection_.next();
    auto connection = std::make_shared<client_connection>(loop_, server_, last_connection_);
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
