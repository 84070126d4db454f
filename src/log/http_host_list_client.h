#pragma once

#include "figwinch/log/host_list_client.h"
#include "figwinch/net/http_client.h"

namespace figwinch {

/// `host_list_client` over the wire format of docs/PORTS.md. Owned by the daemon; `http` outlives
/// it.
class http_host_list_client final : public host_list_client {
public:
    /// A call ends when nothing is heard for `timeout`, and within `longest_log_answer` beside it.
    http_host_list_client(http_client& http, node_id self, duration timeout);

    void fetch(callback done) override;

private:
    http_client& http_;
    node_id self_;
    duration timeout_;
};

} // namespace figwinch
