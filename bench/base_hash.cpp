#include "bench/bench_report.h"
#include "figwinch/base.h"

FIGWINCH_BENCH(base_hash) {
    constexpr int rounds = 200'000;
    for (const int length : {16, 32, 64, 128}) {
        const std::string key(static_cast<std::size_t>(length), 'k');
        std::uint64_t sum = 0;
        const double seconds = figwinch::median_seconds(5, [&] {
            for (int i = 0; i < rounds; ++i)
                sum += figwinch::rendezvous_weight("node", key);
        });
        out.add("weight", length, seconds * 1e9 / rounds, "ns");
        figwinch::keep(sum);
    }
}
