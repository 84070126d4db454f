#include "tests/net/slow_link.h"

#include "tests/net/loopback.h"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

namespace figwinch {
namespace {

constexpr duration turn = std::chrono::milliseconds(10);
constexpr std::size_t turns_per_s = 100;

} // namespace

slow_link::slow_link(event_loop& loop, std::uint16_t server_port, std::size_t bytes_per_s)
    : loop_(loop), server_port_(server_port), bytes_a_turn_(bytes_per_s / turns_per_s) {
    const listening_socket listener = listen_on_loopback();
    listener_ = listener.descriptor;
    port_ = listener.port;
    accepting_ = loop_.on_readable(listener_, [this] { accept_one(); });
    passing_ = loop_.every(turn, [this] { pass_on(); });
}

void slow_link::set_rate(std::size_t bytes_per_s) {
    bytes_a_turn_ = bytes_per_s / turns_per_s;
}

slow_link::~slow_link() {
    for (const pair& one : pairs_) {
        close(one.client);
        close(one.server);
    }
    accepting_.reset();
    close(listener_);
}

void slow_link::accept_one() {
    const int client = accept(listener_, nullptr, nullptr);
    pairs_.push_back({client, connect_to_loopback(server_port_)});
}

void slow_link::pass_on() {
    if (pairs_.empty())
        return;
    // No connection is always served before the others.
    std::rotate(pairs_.begin(), pairs_.begin() + 1, pairs_.end());
    const std::size_t share = bytes_a_turn_ / pairs_.size();
    std::size_t up = bytes_a_turn_;
    std::size_t down = bytes_a_turn_;
    for (const pair& one : pairs_) {
        up -= pass(one.client, one.server, share);
        down -= pass(one.server, one.client, share);
    }
    // What some connections had no use for.
    for (const pair& one : pairs_) {
        up -= pass(one.client, one.server, up);
        down -= pass(one.server, one.client, down);
    }
}

std::size_t slow_link::pass(int from, int to, std::size_t most) {
    std::size_t passed = 0;
    while (passed < most) {
        const std::size_t wanted = std::min(most - passed, buffer_.size());
        const auto count = recv(from, buffer_.data(), wanted, MSG_DONTWAIT);
        if (count <= 0)
            break;
        const auto bytes = static_cast<std::size_t>(count);
        send(to, buffer_.data(), bytes, MSG_NOSIGNAL);
        passed += bytes;
        if (bytes < wanted)
            break;
    }
    return passed;
}

} // namespace figwinch
