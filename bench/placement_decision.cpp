#include "bench/bench_report.h"
#include "figwinch/placement.h"

#include <random>

namespace {

std::optional<double> no_cost(const figwinch::placement_worker&) {
    return 0;
}

} // namespace

// Time of one decision and memory of the index, by workers held. One scheduler holds 76 at the size
// that docs/CONTRIBUTING.md names; 20,000 are all workers of all schedulers.
FIGWINCH_BENCH(placement_decision) {
    using namespace figwinch;
    constexpr int decisions = 20'000;
    for (const int workers : {20, 76, 1'000, 5'000, 20'000}) {
        std::mt19937_64 random(1);
        const auto number = [&random](std::int64_t high) {
            return std::uniform_int_distribution<std::int64_t>(0, high)(random);
        };
        const double before = heap_bytes();
        worker_index index;
        for (int i = 0; i < workers; ++i) {
            const std::string name = "worker-" + std::to_string(i);
            index.put({worker_id(name),
                       rack_id("rack-" + std::to_string(i / 8)),
                       name,
                       {16'000, 61'440, 2},
                       {number(16'000), number(61'440), number(2)}});
        }
        out.add("memory", workers, (heap_bytes() - before) / workers, "bytes/worker");
        std::uint64_t found = 0;
        const double seconds = median_seconds(5, [&] {
            for (int i = 0; i < decisions; ++i) {
                const resources size{number(4'000), number(8'192), number(1)};
                if (index.best_fit(size, no_cost))
                    ++found;
            }
        });
        out.add("decision", workers, seconds * 1e6 / decisions, "us");
        keep(found);
    }
}
