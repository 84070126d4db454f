#pragma once

#include "figwinch/net/event_loop.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace figwinch {

/// Passes bytes between TCP clients and one server of the test's loop at a bounded rate, like a
/// host's narrow link. All connections share each direction.
class slow_link {
public:
    /// `bytes_per_s` in each direction.
    slow_link(event_loop& loop, std::uint16_t server_port, std::size_t bytes_per_s);
    ~slow_link();
    slow_link(const slow_link&) = delete;
    slow_link& operator=(const slow_link&) = delete;

    std::uint16_t port() const { return port_; }
    void set_rate(std::size_t bytes_per_s);

private:
    struct pair {
        int client = -1;
        int server = -1;
    };

    void accept_one();
    void pass_on();
    std::size_t pass(int from, int to, std::size_t most);

    event_loop& loop_;
    std::uint16_t server_port_;
    std::size_t bytes_a_turn_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::unique_ptr<event_handle> accepting_;
    std::unique_ptr<event_handle> passing_;
    std::vector<pair> pairs_;
    /// Kept from turn to turn: a fast link looks at every connection in each.
    std::vector<char> buffer_ = std::vector<char>(std::size_t{64} * 1024);
};

} // namespace figwinch
