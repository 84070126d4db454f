#include "tests/net/raw_server.h"

#include "tests/net/loopback.h"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <utility>

namespace figwinch {

raw_server::raw_server(event_loop& loop, answer decide)
    : loop_(loop), decide_(std::move(decide)), listener_(-1) {
    const listening_socket listener = listen_on_loopback();
    listener_ = listener.descriptor;
    port_ = listener.port;
    watch_ = loop_.on_readable(listener_, [this] { accept_one(); });
}

raw_server::~raw_server() {
    close_all();
    watch_.reset();
    close(listener_);
}

void raw_server::close_all() {
    for (const auto& one : peers_)
        close_peer(*one);
}

void raw_server::close_peer(peer& one) {
    one.watch.reset();
    if (one.socket >= 0)
        close(std::exchange(one.socket, -1));
}

void raw_server::accept_one() {
    auto next = std::make_unique<peer>();
    next->socket = accept(listener_, nullptr, nullptr);
    next->watch = loop_.on_readable(next->socket, [this, from = next.get()] { read_from(*from); });
    peers_.push_back(std::move(next));
}

void raw_server::read_from(peer& from) {
    std::array<char, 4096> chunk{};
    const auto count = recv(from.socket, chunk.data(), chunk.size(), MSG_DONTWAIT);
    if (count <= 0) {
        ++closed_by_peer_;
        close_peer(from);
        return;
    }
    from.received.append(chunk.data(), static_cast<std::size_t>(count));
    react(from);
}

void raw_server::send_to_all(const std::string& text) {
    for (const auto& one : peers_)
        if (one->socket >= 0)
            send(one->socket, text.data(), text.size(), MSG_NOSIGNAL);
}

void raw_server::react(peer& from) {
    const auto end = from.received.find("\r\n\r\n");
    if (end == std::string::npos)
        return;
    ++requests_;
    const reaction next = decide_(std::exchange(from.received, {}));
    send(from.socket, next.send.data(), next.send.size(), MSG_NOSIGNAL);
    if (next.reset) {
        const linger abort_on_close{1, 0};
        setsockopt(from.socket, SOL_SOCKET, SO_LINGER, &abort_on_close, sizeof(abort_on_close));
    }
    if (next.close || next.reset)
        close_peer(from);
}

} // namespace figwinch
