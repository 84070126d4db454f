// figwinch-standin-executor: stands in for executors in tests and the demo.

#include "figwinch/observe.h"
#include "tools/standin_executor/executor_server.h"

#include <absl/flags/flag.h>

#include <csignal>
#include <iostream>
#include <vector>

ABSL_FLAG(std::string, address, "127.0.0.1", "IP number to listen on");
ABSL_FLAG(int, port, 7800, "first port; 0 takes free ones");
ABSL_FLAG(int, count, 1, "executors to serve, on consecutive ports");
ABSL_FLAG(std::string, name, "executor", "executor N is called NAME-N, from 1");
ABSL_FLAG(int, slots, 8, "requests that run at once on each");
ABSL_FLAG(int, connections, 64, "connections of each; a further one is closed");
ABSL_FLAG(int, work_ms, 20, "work of a request whose JSON body has no work_ms, ms");

namespace {

using namespace figwinch;

constexpr std::string_view summary =
    "stands in for executors (docs/PORTS.md). Prints \"NAME ADDRESS:PORT\" for each.\n"
    "Faults, by POST /control/FAULT with a JSON body on the executor's port:\n"
    "  slow {\"factor\": N}        work takes N times as long\n"
    "  refuse {\"on\": true}       refuses everything before running\n"
    "  freeze {\"on\": true}       accepts and never answers\n"
    "  leave {\"on\": true}        says that it is leaving\n"
    "  down {\"on\": true}         closes every connection without answering\n"
    "  lose_reply {\"count\": N}   runs the next N and closes without answering\n"
    "  truncate {\"count\": N}     runs the next N and sends half of the answer\n"
    "  cross {\"count\": N}        runs the next N and answers with another request's id\n"
    "GET /control/state shows runs per customer/request and the most slots in use at once.";

bool check(settings_reader& settings) {
    constexpr int max_port = 65'535;
    settings.require_range("port", absl::GetFlag(FLAGS_port), 0, max_port, "");
    settings.require_range("count", absl::GetFlag(FLAGS_count), 1, 1000, "executors");
    settings.require_range("slots", absl::GetFlag(FLAGS_slots), 1, 1000, "requests");
    settings.require_range("connections", absl::GetFlag(FLAGS_connections), 1, 10'000, "");
    settings.require_range("work_ms", absl::GetFlag(FLAGS_work_ms), 0, 600'000, "ms");
    return settings.accept();
}

} // namespace

int main(int argc, char** argv) {
    settings_reader settings({"figwinch-standin-executor",
                              std::string(summary),
                              {"figwinch-standin-executor --port=7800 --count=3"}},
                             argc, argv);
    if (!check(settings))
        return 2;
    event_loop loop;
    std::vector<std::unique_ptr<standin::executor_server>> servers;
    for (int i = 0; i < absl::GetFlag(FLAGS_count); ++i) {
        standin::executor_model_settings with;
        with.name = absl::GetFlag(FLAGS_name) + '-' + std::to_string(i + 1);
        with.slots = absl::GetFlag(FLAGS_slots);
        with.connections = absl::GetFlag(FLAGS_connections);
        with.default_work = std::chrono::milliseconds(absl::GetFlag(FLAGS_work_ms));
        const int first = absl::GetFlag(FLAGS_port);
        auto server = std::make_unique<standin::executor_server>(loop, with);
        const auto port = static_cast<std::uint16_t>(first == 0 ? 0 : first + i);
        const absl::Status status = server->listen(absl::GetFlag(FLAGS_address), port);
        if (!status.ok()) {
            std::cerr << status.message() << '\n';
            return 2;
        }
        std::cout << with.name << ' ' << absl::GetFlag(FLAGS_address) << ':' << server->port()
                  << std::endl;
        servers.push_back(std::move(server));
    }
    const auto on_term = loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
    const auto on_interrupt = loop.on_signal(SIGINT, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}
