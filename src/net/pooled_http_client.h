#pragma once

#include "figwinch/net/http_client.h"
#include "net/client_connection.h"

#include <vector>

namespace figwinch {

/// `http_client` by evhttp. Owns its connections; the most recently used idle one is taken first,
/// so that the others grow old and can be closed.
class pooled_http_client final : public http_client {
public:
    pooled_http_client(event_loop& loop, endpoint server, std::size_t max_connections);

    using http_client::call;
    void call(http_request request, const call_bounds& bounds, callback done) override;
    std::vector<kept_connection> free_connections() override;
    void call_over(connection_id connection, http_request request, const call_bounds& bounds,
                   callback done) override;
    std::size_t open_connections() const override { return connections_.size(); }
    void close_idle(duration age) override;

private:
    using connection_ptr = std::shared_ptr<client_connection>;

    connection_ptr idle_connection();
    connection_ptr new_connection();
    void send(const connection_ptr& connection, const http_request& request,
              const call_bounds& bounds, callback done);
    void refuse(const char* reason, callback done);
    void remove_closed();
    void drop(const client_connection* connection);

    event_loop& loop_;
    endpoint server_;
    std::size_t max_connections_;
    std::vector<connection_ptr> connections_;
    connection_id last_connection_;
    /// Ends with the client: calls refused but not yet called back are dropped with it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
