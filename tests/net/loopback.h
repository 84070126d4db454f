#pragma once

#include <cstdint>

namespace figwinch {

/// A socket that listens on a free port of loopback.
struct listening_socket {
    int descriptor = -1;
    std::uint16_t port = 0;
};
listening_socket listen_on_loopback();

/// A connection to a port of loopback; -1 when refused.
int connect_to_loopback(std::uint16_t port);

} // namespace figwinch
