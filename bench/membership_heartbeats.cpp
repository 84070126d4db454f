// Heartbeat messages and bytes a second of one process, by the number of its peers: bodies on a
// simulated bus, and messages with their envelopes on real buses over loopback, all in one process.

#include "bench/bench_report.h"
#include "tests/membership/bus_process.h"
#include "tests/membership/sim_process.h"

#include <memory>
#include <string>
#include <vector>

namespace figwinch {
namespace {

constexpr int measured_seconds = 100;
/// Real buses run this much faster than the default period, and the rates are divided by it.
constexpr int speed_up = 10;
constexpr int bus_seconds = 2;

/// Runs real processes and returns the traffic of the last one over `bus_seconds`.
bus_traffic real_traffic(int peers) {
    const system_clock time;
    event_loop loop;
    std::vector<std::unique_ptr<bus_process>> all;
    all.reserve(static_cast<std::size_t>(peers) + 1);
    std::vector<std::string> seeds;
    const duration period = peer_settings().heartbeat_period / speed_up;
    for (int i = 0; i <= peers; ++i) {
        all.push_back(
            std::make_unique<bus_process>(loop, time, "entry-" + std::to_string(i), seeds, period));
        seeds = {all.front()->address()};
    }
    // Members count as news for 20 periods; the steady state begins after that.
    run_until(loop, std::chrono::seconds(4), [] { return false; });
    const bus_traffic before = all.back()->messages->traffic();
    run_until(loop, std::chrono::seconds(bus_seconds), [] { return false; });
    bus_traffic change = all.back()->messages->traffic();
    change.messages_sent -= before.messages_sent;
    change.bytes_sent -= before.bytes_sent;
    return change;
}

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
        const bus_traffic real = real_traffic(peers);
        constexpr double scaled_seconds = bus_seconds * speed_up;
        out.add("messages sent on a real bus", peers,
                static_cast<double>(real.messages_sent) / scaled_seconds, "1/s");
        out.add("bytes sent on a real bus", peers,
                static_cast<double>(real.bytes_sent) / scaled_seconds, "bytes/s");
    }
}
