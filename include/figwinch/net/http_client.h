#pragma once

#include "figwinch/base/clock.h"
#include "figwinch/base/strong_number.h"
#include "figwinch/net/event_loop.h"
#include "figwinch/net/http_message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace figwinch {

/// Where a server listens. `address` is an IP number.
struct endpoint {
    std::string address;
    std::uint16_t port = 0;
    // clang-tidy takes the 0 of a rewritten `<` for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// Parses "10.0.0.1:8080". Returns nothing on bad input.
std::optional<endpoint> parse_endpoint(std::string_view text);
std::string to_string(const endpoint& where);

/// What became of a call, as far as this side can prove.
enum class call_outcome {
    /// A whole response arrived.
    answered,
    /// No byte of the request left this process: the server can't have run it.
    not_sent,
    /// The request may have reached the server, and no whole response arrived.
    unknown,
};

/// A connection of an `http_client`; none for a call that got no connection.
struct connection_tag;
using connection_id = strong_number<connection_tag>;

/// A free connection that has carried a call before and was kept alive.
struct kept_connection {
    connection_id id;
    instant kept_since;
};

/// The end of one call.
struct call_result {
    call_outcome outcome = call_outcome::not_sent;
    http_response response;
    /// For logs: "connect refused", "timeout", "truncated".
    std::string reason;
    /// Since when the connection that carried the call has been kept alive after an answer; nothing
    /// on its first call. Only what listened then can have got the request.
    std::optional<instant> kept_since{};
    connection_id connection{};
};

/// How long a call may take.
struct call_bounds {
    /// From its begin to the first byte of the answer, and between bytes from then on.
    duration silence{};
    /// From its begin to the whole answer.
    duration whole{};
};

/// Calls one server over a bounded set of kept-alive connections. Each connection carries one
/// request at a time, so that a late answer can't be taken for another request's. A connection
/// whose call timed out is closed and never used again. The client never resends by itself.
class http_client {
public:
    using callback = std::function<void(call_result)>;

    /// `max_connections` bounds open connections; a call beyond it ends as `not_sent`.
    static std::unique_ptr<http_client> create(event_loop& loop, const endpoint& server,
                                               std::size_t max_connections);
    virtual ~http_client() = default;

    /// Calls back exactly once, within `bounds.whole`. Destroying the client ends open calls as
    /// `unknown` without calling back.
    virtual void call(http_request request, const call_bounds& bounds, callback done) = 0;
    /// The same with one bound on the whole call.
    void call(http_request request, duration timeout, callback done) {
        call(std::move(request), call_bounds{timeout, timeout}, std::move(done));
    }
    /// The free connections, the most recently used one first. The next call takes that one, or
    /// opens one if there is none.
    virtual std::vector<kept_connection> free_connections() = 0;
    /// The same as `call`, but over one connection: if it is closed or busy, the call ends as
    /// `not_sent`. Whatever process the connection leads to, no other gets the request.
    virtual void call_over(connection_id connection, http_request request,
                           const call_bounds& bounds, callback done) = 0;
    virtual std::size_t open_connections() const = 0;
    /// Closes connections that have been idle for at least `age`, so that one which has silently
    /// died is not used for the next call.
    virtual void close_idle(duration age) = 0;
};

} // namespace figwinch
