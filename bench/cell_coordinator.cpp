#include "bench/bench_report.h"
#include "tests/cell/cell_world.h"

#include <ctime>

namespace {

using namespace figwinch;
using namespace figwinch::sim;

constexpr duration warm_up = std::chrono::seconds(3);
constexpr duration measured = std::chrono::seconds(4);
constexpr int measured_s = 4;

/// A worker has about four lasting tasks, and gets two and a half short ones a second.
void hand_in_lasting(cell_world& world, std::size_t workers) {
    for (std::size_t index = 0; index < workers; ++index) {
        step_spec step = cell_world::make_step(4, 700);
        step.is_service = true;
        world.submit(0, "lasting" + std::to_string(index), cell_world::make_job({step}));
    }
}

void hand_in_short(cell_world& world, std::size_t workers, int second) {
    for (std::size_t index = 0; index < workers / 2; ++index) {
        const std::string id = std::to_string(second) + "short" + std::to_string(index);
        world.submit(0, id, cell_world::make_job({cell_world::make_step(5, 200)}));
    }
}

double processor_seconds() {
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

} // namespace

// One coordinator in simulated time: what a second of a worker costs in processor time, with the
// simulated workers' own share in it, and how often the coordinator calls.
FIGWINCH_BENCH(cell_coordinator) {
    for (const std::size_t workers : {66U, 490U, 1'800U, 5'000U}) {
        const double heap_before = static_cast<double>(heap_bytes());
        cell_world world(3, 1, workers);
        world.checker().failure_probability = 0;
        world.time().run_for(warm_up);
        hand_in_lasting(world, workers);
        world.time().run_for(warm_up);
        const auto size = static_cast<std::int64_t>(workers);
        const double begun = processor_seconds();
        const coordinator_counts before = world.host(0)->member().coordinating()->counts();
        for (int second = 0; second < measured_s; ++second) {
            hand_in_short(world, workers, second);
            world.time().run_for(measured / measured_s);
        }
        const coordinator_counts after = world.host(0)->member().coordinating()->counts();
        const auto calls = static_cast<double>(after.starts + after.lease_renewals - before.starts -
                                               before.lease_renewals);
        out.add("processor", size, (processor_seconds() - begun) / measured_s * 1e6, "us/s");
        out.add("calls", size, calls / measured_s, "calls/s");
        out.add("heap", size, static_cast<double>(heap_bytes()) - heap_before, "bytes");
    }
}
