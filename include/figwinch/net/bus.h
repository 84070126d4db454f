#pragma once

#include "figwinch/base/clock.h"
#include "figwinch/base/ids.h"
#include "figwinch/net/event_loop.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace figwinch {

/// Who sent a message and when it stops being of use.
struct bus_sender {
    incarnation_id from;
    /// Opaque return path; valid until the sender reconnects.
    std::string route;
};

/// Counters for /metrics and docs/CAPACITY.md.
struct bus_traffic {
    std::uint64_t messages_sent = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t messages_received = 0;
    std::uint64_t bytes_received = 0;
    /// Messages that arrived after their deadline and were dropped.
    std::uint64_t expired = 0;
};

/// Messages between figwinch's own processes over ZeroMQ. Queues are bounded and each message has
/// a lifetime, so that nothing stale is delivered after a silent link comes back. Bodies are
/// serialized protobuf (proto/wire.proto) that this library does not look into.
class bus {
public:
    using request_handler = std::function<void(const bus_sender&, std::string_view body,
                                               std::function<void(std::string reply)> reply)>;
    using reply_handler = std::function<void(absl::StatusOr<std::string>)>;

    /// Binds `address`:`port` (port 0 takes a free one) for messages to this process.
    static absl::StatusOr<std::unique_ptr<bus>> bind(event_loop& loop, const clock& time,
                                                     const std::string& address, std::uint16_t port,
                                                     incarnation_id self);
    virtual ~bus() = default;

    virtual std::uint16_t port() const = 0;
    /// Called for every request that arrives in time; the reply may come later, at most once.
    virtual void on_request(request_handler handle) = 0;
    /// Asks the process at `where` ("10.0.0.1:7000"); calls back exactly once, with the reply or
    /// `peer_unreachable` after `timeout`. A link that stays silent for
    /// several timeouts is replaced by a new connection.
    virtual void ask(const std::string& where, std::string body, duration timeout,
                     reply_handler done) = 0;
    /// Drops the connection to `where`, for instance when a member has left.
    virtual void forget(const std::string& where) = 0;
    virtual const bus_traffic& traffic() const = 0;
};

} // namespace figwinch
