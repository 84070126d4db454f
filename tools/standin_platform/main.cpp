// figwinch-standin-platform: the platform's log and host list for tests and the demo.

#include "figwinch/net.h"
#include "figwinch/observe.h"
#include "standin_platform/standin_platform.h"

#include <absl/flags/flag.h>

#include <csignal>
#include <cstdint>
#include <iostream>
#include <string>

ABSL_FLAG(std::string, address, "127.0.0.1", "IP number to listen on");
ABSL_FLAG(std::uint16_t, port, 7100, "port to listen on; 0 takes a free one");

namespace {

constexpr const char* usage =
    "The platform's log and host list for tests, in memory (wire formats: docs/PORTS.md).\n"
    "Prints \"listening on IP:PORT\" when it is ready; SIGTERM ends it.\n"
    "Faults, by POST /control/FAULT with a JSON body, in force when 200 comes:\n"
    "  log_down    {\"down\": true}            the log answers 503 and appends nothing\n"
    "  log_silent  {\"silent\": true}          the log accepts calls and never answers\n"
    "  log_slow    {\"ms\": 300}               answers of the log come later\n"
    "  lose_ack    {\"count\": 2}              the next appends are kept and never answered\n"
    "  retention   {\"records\": 100}          records kept per stream\n"
    "  partition   {\"nodes\": [\"entry-1\"]}    callers (Figwinch-Node) without any answer\n"
    "  hosts       {\"hosts\": [...], \"lag_ms\": 2000}  the host list, visible after the lag\n"
    "GET /control/state shows faults and counters.";

constexpr std::size_t max_record_bytes = 64UL << 20;
constexpr int exit_bad_settings = 2;

} // namespace

int main(int argc, char** argv) {
    const figwinch::settings_reader settings(
        {"figwinch-standin-platform", usage, {"figwinch-standin-platform --port=7100"}}, argc,
        argv);
    if (!settings.accept())
        return exit_bad_settings;
    figwinch::event_loop loop;
    const figwinch::system_clock time;
    figwinch::standin_platform platform(loop, time);
    figwinch::http_server_limits limits;
    limits.max_body_bytes = max_record_bytes;
    const auto server = figwinch::http_server::listen(
        loop, absl::GetFlag(FLAGS_address), absl::GetFlag(FLAGS_port), limits,
        [&](const figwinch::http_request& request,
            const std::shared_ptr<figwinch::http_responder>& responder) {
            platform.handle(request, responder);
        });
    if (!server.ok()) {
        std::cerr << server.status().message() << '\n';
        return exit_bad_settings;
    }
    const auto on_term = loop.on_signal(SIGTERM, [&] { loop.stop(); });
    const auto on_interrupt = loop.on_signal(SIGINT, [&] { loop.stop(); });
    std::cout << "listening on " << absl::GetFlag(FLAGS_address) << ":" << (*server)->port()
              << std::endl;
    loop.run();
    return 0;
}
