#pragma once

#include "cell_host/cell_host.h"
#include "tests/cell_host/fake_platform.h"

#include <cppunit/TestAssert.h>
#include <unistd.h>

#include <memory>
#include <string>

namespace figwinch {

/// A complete `cell_host` on a fake platform, and an HTTP client of its job API.
class called_host {
public:
    event_loop loop;
    fake_platform platform{loop};
    std::unique_ptr<cell_host> host;
    std::unique_ptr<http_client> client;

    void start(cell_host_settings settings = {}) {
        constexpr std::uint16_t first_port = 7720;
        settings.node = "host-1";
        settings.callers = {own_address(), first_port};
        settings.ready = {own_address(), first_port + 1};
        settings.bus = {own_address(), first_port + 2};
        settings.metrics = {own_address(), first_port + 3};
        host = std::make_unique<cell_host>(loop, platform, settings, incarnation_id("host-1#1"));
        CPPUNIT_ASSERT(host->listen().ok());
        client = http_client::create(loop, settings.callers, 4);
        run_for(std::chrono::milliseconds(200));
    }
    void end() {
        client.reset();
        host.reset();
    }
    void run_for(duration span) {
        const auto timer = loop.after(span, [this] { loop.stop(); });
        loop.run();
    }
    /// A request about a job of the only queue, from a caller with the timeout `caller_timeout`.
    static http_request request_about(const std::string& job, http_method method,
                                      duration caller_timeout) {
        http_request request;
        request.method = method;
        request.path = "/jobs/" + job;
        request.headers.add("Host", "gate.example");
        const auto patience_ms = caller_timeout / std::chrono::milliseconds(1);
        request.headers.add("Patience-Ms", std::to_string(patience_ms));
        return request;
    }

private:
    // A loopback address derived from the process ID, so that tests run in parallel don't collide.
    static std::string own_address() {
        constexpr int bits = 8;
        constexpr int mask = 0xff;
        const int id = getpid();
        return "127." + std::to_string(100 + ((id >> (2 * bits)) & 0x3f)) + "." +
               std::to_string((id >> bits) & mask) + "." + std::to_string(id & mask);
    }
};

} // namespace figwinch
