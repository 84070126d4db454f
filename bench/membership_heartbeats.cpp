// Heartbeat messages and bytes a second of one process, by the number of its peers, on a simulated
// bus: bodies only, without the framing of ZeroMQ and TCP.

#include "bench/bench_report.h"
#include "tests/membership/sim_process.h"

#include <memory>
#include <string>
#include <vector>

namespace figwinch {
namespace {

constexpr int measured_seconds = 100;

} // namespace
} // namespace figwinch

FIGWINCH_BENCH(membership_heartbeats) {
    using namespace figwinch;
    for (const int peers : {3, 7, 15, 23}) {
        sim_loop loop;
        sim_network network(loop);
        std::vector<std::unique_ptr<sim_process>> all;
        all.reserve(static_cast<std::size_t>(peers) + 1);
        for (int i = 0; i <= peers; ++i)
            all.push_back(std::make_unique<sim_process>(
                network, "10.0.0." + std::to_string(i) + ":7000",
                std::vector<std::string>{"10.0.0.0:7000", "10.0.0.1:7000"}));
        loop.run_for(std::chrono::seconds(30));
        const bus_traffic before = all.back()->bus.traffic();
        loop.run_for(std::chrono::seconds(measured_seconds));
        const bus_traffic after = all.back()->bus.traffic();
        const auto per_second = [](std::uint64_t count) {
            return static_cast<double>(count) / measured_seconds;
        };
        out.add("messages sent", peers, per_second(after.messages_sent - before.messages_sent),
                "1/s");
        out.add("body bytes sent", peers, per_second(after.bytes_sent - before.bytes_sent),
                "bytes/s");
    }
}
