#pragma once

#include "figwinch/net/event_loop.h"

#include <cstdint>
#include <functional>
#include <string>

namespace figwinch {

/// Runs the loop until `done` holds; fails the test when it still doesn't after a minute, which
/// only a hang reaches.
void run_until(event_loop& loop, const std::function<bool()>& done);

/// A plain TCP connection to a server of the same loop, for what no HTTP library would send.
class raw_client {
public:
    raw_client(event_loop& loop, std::uint16_t port);
    ~raw_client();
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;

    bool is_connected() const { return socket_ >= 0; }
    void send(const std::string& text) const;
    void close_sending() const;
    /// Everything that the server sends until it closes.
    std::string read_until_closed();

private:
    event_loop& loop_;
    int socket_;
};

} // namespace figwinch
