#pragma once

#include "figwinch/net/event_loop.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace figwinch {

/// A plain TCP server on the test's loop, for answers that no HTTP library would give. For each
/// complete head that arrives, `answer` decides what is sent back.
class raw_server {
public:
    /// What to do with one request.
    struct reaction {
        std::string send;
        bool close = false;
        /// Close with RST instead of FIN.
        bool reset = false;
    };
    using answer = std::function<reaction(const std::string& head)>;

    raw_server(event_loop& loop, answer decide);
    ~raw_server();
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;

    std::uint16_t port() const { return port_; }
    std::size_t requests() const { return requests_; }
    std::size_t accepted() const { return peers_.size(); }
    /// Connections whose other side has closed.
    std::size_t closed_by_peer() const { return closed_by_peer_; }
    void close_all();
    /// Sends more to everybody who is connected.
    void send_to_all(const std::string& text);

private:
    struct peer {
        int socket = -1;
        std::string received;
        std::unique_ptr<event_handle> watch;
    };

    void accept_one();
    void read_from(peer& from);
    void react(peer& from);
    static void close_peer(peer& one);

    event_loop& loop_;
    answer decide_;
    int listener_;
    std::uint16_t port_ = 0;
    std::unique_ptr<event_handle> watch_;
    std::vector<std::unique_ptr<peer>> peers_;
    std::size_t requests_ = 0;
    std::size_t closed_by_peer_ = 0;
};

} // namespace figwinch
