#pragma once

#include "figwinch/net/event_loop.h"
#include "figwinch/net/http_client.h"
#include "worker.pb.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace figwinch {

/// Commands to workers over the wire format of docs/PORTS.md. Owned by the scheduler's daemon.
class http_worker_client {
public:
    /// Empty when no whole answer came: the command may have been carried out.
    using callback = std::function<void(std::optional<pb::WorkerReply>)>;

    http_worker_client(event_loop& loop, duration timeout) : loop_(loop), timeout_(timeout) {}

    /// Sends a command to the worker at `address` ("10.0.0.1:7900"); calls back exactly once, from
    /// the loop.
    void send(const std::string& address, const pb::WorkerCommand& command, callback done);
    /// Closes connections that have been idle for `age`.
    void close_idle(duration age);
    /// Drops the connections to workers that are not among `addresses`.
    void keep_only(const std::set<std::string>& addresses);

private:
    http_client* client_of(const std::string& address);

    event_loop& loop_;
    duration timeout_;
    std::unordered_map<std::string, std::unique_ptr<http_client>> clients_;
};

} // namespace figwinch
