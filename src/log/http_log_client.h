#pragma once

#include "figwinch/log/log_client.h"
#include "figwinch/net/http_client.h"

#include <string>

namespace figwinch {

/// The header by which a process names itself to the platform.
inline constexpr const char* node_header = "Figwinch-Node";

/// `log_client` over the wire format of docs/PORTS.md. Owned by the daemon; `http` outlives it.
class http_log_client final : public log_client {
public:
    /// A call ends when nothing is heard for `timeout`, and within `longest_log_answer` beside it.
    http_log_client(http_client& http, node_id self, duration timeout);

    void append(const stream_name& stream, std::string payload, append_callback done) override;
    void read(const stream_name& stream, log_offset from, std::size_t max_records,
              read_callback done) override;

private:
    http_request request(http_method method, const stream_name& stream) const;

    http_client& http_;
    node_id self_;
    duration timeout_;
};

} // namespace figwinch
