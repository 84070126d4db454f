#include "tests/net/raw_client.h"

#include "tests/net/loopback.h"

#include <cppunit/TestAssert.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace figwinch {

void run_until(event_loop& loop, const std::function<bool()>& done) {
    bool hung = false;
    const auto watchdog = loop.after(std::chrono::minutes(1), [&] {
        hung = true;
        loop.stop();
    });
    const auto poll = loop.every(std::chrono::milliseconds(1), [&] {
        if (done())
            loop.stop();
    });
    loop.run();
    CPPUNIT_ASSERT_MESSAGE("the loop ran for a minute without the awaited condition", !hung);
}

raw_client::raw_client(event_loop& loop, std::uint16_t port)
    : loop_(loop), socket_(connect_to_loopback(port)) {}

raw_client::~raw_client() {
    if (socket_ >= 0)
        close(socket_);
}

void raw_client::send(const std::string& text) const {
    const auto sent = ::send(socket_, text.data(), text.size(), MSG_NOSIGNAL);
    CPPUNIT_ASSERT_EQUAL(static_cast<ssize_t>(text.size()), sent);
}

void raw_client::close_sending() const {
    shutdown(socket_, SHUT_WR);
}

std::string raw_client::read_until_closed() {
    std::string text;
    bool closed = false;
    const auto watch = loop_.on_readable(socket_, [&] {
        std::array<char, 4096> chunk{};
        const auto count = recv(socket_, chunk.data(), chunk.size(), MSG_DONTWAIT);
        if (count > 0)
            text.append(chunk.data(), static_cast<std::size_t>(count));
        else
            closed = true;
    });
    run_until(loop_, [&] { return closed; });
    return text;
}

} // namespace figwinch
