// figwinch-standin-worker: stands in for the platform's workers in tests and the demo.

#include "tools/standin_worker/worker_server.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, address, "127.0.0.1", "IP number to listen on");
ABSL_FLAG(std::uint16_t, port, 7900, "first port; 0 takes free ones");
ABSL_FLAG(int, count, 1, "workers to serve, on consecutive ports, 1 to 1000");
ABSL_FLAG(std::string, name, "worker", "worker N is called NAME-N, from 1");
ABSL_FLAG(std::int64_t, cpu_millis, 16'000, "processors of each worker, thousandths of a core");
ABSL_FLAG(std::int64_t, memory_mib, 61'440, "memory of each worker, MiB");
ABSL_FLAG(std::int64_t, accelerators, 0, "accelerators of each worker");
ABSL_FLAG(std::int64_t, report_lag_ms, 2000, "age of usage figures, ms");
ABSL_FLAG(int, used_percent, 70, "what tasks use of their committed size, percent");

namespace {

constexpr std::string_view usage =
    "stands in for workers (docs/PORTS.md).\n"
    "Faults, by POST /control/FAULT with a JSON body on the worker's port:\n"
    "  lose_reply {\"count\": N}    the next N commands act and are never answered\n"
    "  freeze {\"ms\": N}           commands wait for N ms\n"
    "  restart {}                 loses its tasks, lease and notes\n"
    "  fail_all {\"on\": true}      tasks that start from now on fail\n"
    "  report_lag {\"ms\": N}       sets the age of usage figures\n"
    "  cut {\"holders\": [\"a\"]}     commands of these holders are lost; [] heals\n"
    "GET /control/state shows what runs and ran.";

constexpr auto advance_every = std::chrono::milliseconds(20);

} // namespace

int main(int argc, char** argv) {
    using namespace figwinch;
    absl::SetProgramUsageMessage(absl::string_view(usage.data(), usage.size()));
    absl::ParseCommandLine(argc, argv);
    event_loop loop;
    const system_clock time;
    const int count = absl::GetFlag(FLAGS_count);
    const std::uint16_t first = absl::GetFlag(FLAGS_port);
    std::vector<std::unique_ptr<standin::worker_server>> servers;
    for (int i = 0; i < count; ++i) {
        standin::worker_model_settings with;
        with.name = worker_id(absl::GetFlag(FLAGS_name) + '-' + std::to_string(i + 1));
        with.capacity = {absl::GetFlag(FLAGS_cpu_millis), absl::GetFlag(FLAGS_memory_mib),
                         absl::GetFlag(FLAGS_accelerators)};
        with.first_epoch = static_cast<std::uint64_t>(time.wall_now().time_since_epoch().count());
        with.report_lag = std::chrono::milliseconds(absl::GetFlag(FLAGS_report_lag_ms));
        with.used_percent = absl::GetFlag(FLAGS_used_percent);
        auto server = std::make_unique<standin::worker_server>(loop, time, with);
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
    const auto ticking = loop.every(advance_every, [&servers] {
        for (const auto& server : servers)
            server->advance();
    });
    const auto on_term = loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
    const auto on_interrupt = loop.on_signal(SIGINT, [&loop] { loop.stop(); });
    loop.run();
    return 0;
}
