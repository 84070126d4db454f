#pragma once

#include "figwinch/net/event_loop.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace figwinch {

/// Passes bytes between TCP clients and one server of the test's loop, like the box between two
/// hosts that can lose track of a connection.
class tcp_relay {
public:
    tcp_relay(event_loop& loop, std::uint16_t server_port);
    ~tcp_relay();
    tcp_relay(const tcp_relay&) = delete;
    tcp_relay& operator=(const tcp_relay&) = delete;

    std::uint16_t port() const { return port_; }
    std::size_t connections() const { return pairs_.size(); }
    /// Connections that are open now pass nothing on any more; new ones work.
    void freeze();
    /// Frozen connections pass on what has piled up meanwhile.
    void thaw();

private:
    struct pair {
        int client = -1;
        int server = -1;
        std::unique_ptr<event_handle> from_client;
        std::unique_ptr<event_handle> from_server;
    };

    void accept_one();
    void watch(pair& one);
    static void pass(pair& one, int from, int to);

    event_loop& loop_;
    std::uint16_t server_port_;
    int listener_;
    std::uint16_t port_ = 0;
    std::unique_ptr<event_handle> accepting_;
    std::vector<std::unique_ptr<pair>> pairs_;
};

} // namespace figwinch
