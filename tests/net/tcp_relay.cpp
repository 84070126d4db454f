#include "tests/net/tcp_relay.h"

#include "tests/net/loopback.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace figwinch {

tcp_relay::tcp_relay(event_loop& loop, std::uint16_t server_port)
    : loop_(loop), server_port_(server_port), listener_(-1) {
    const listening_socket listener = listen_on_loopback();
    listener_ = listener.descriptor;
    port_ = listener.port;
    accepting_ = loop_.on_readable(listener_, [this] { accept_one(); });
}

tcp_relay::~tcp_relay() {
    freeze();
    for (const auto& one : pairs_) {
        close(one->client);
        close(one->server);
    }
    accepting_.reset();
    close(listener_);
}

void tcp_relay::accept_one() {
    auto next = std::make_unique<pair>();
    next->client = accept(listener_, nullptr, nullptr);
    next->server = connect_to_loopback(server_port_);
    watch(*next);
    pairs_.push_back(std::move(next));
}

void tcp_relay::watch(pair& one) {
    one.from_client = loop_.on_readable(one.client, [&one] { pass(one, one.client, one.server); });
    one.from_server = loop_.on_readable(one.server, [&one] { pass(one, one.server, one.client); });
}

void tcp_relay::pass(pair& one, int from, int to) {
    std::array<char, 4096> chunk{};
    const auto count = recv(from, chunk.data(), chunk.size(), MSG_DONTWAIT);
    if (count > 0) {
        send(to, chunk.data(), static_cast<std::size_t>(count), MSG_NOSIGNAL);
        return;
    }
    shutdown(to, SHUT_WR);
    if (from == one.client)
        one.from_client.reset();
    else
        one.from_server.reset();
}

void tcp_relay::freeze() {
    for (const auto& one : pairs_) {
        one->from_client.reset();
        one->from_server.reset();
    }
}

void tcp_relay::thaw() {
    for (const auto& one : pairs_)
        watch(*one);
}

} // namespace figwinch
