#include "bench/bench_report.h"
#include "figwinch/placement.h"

#include <random>

// Time of a search for candidates and of an update, by workers held. 20,000 workers are the size to
// design for, in one cell.
FIGWINCH_BENCH(candidate_search) {
    using namespace figwinch;
    constexpr int searches = 20'000;
    constexpr std::size_t most = 128;
    const service_id service("yard");
    for (const std::uint32_t workers : {66U, 490U, 1'800U, 5'000U, 20'000U}) {
        std::mt19937_64 random(1);
        const auto number = [&random](std::int64_t high) {
            return std::uniform_int_distribution<std::int64_t>(0, high)(random);
        };
        const double before = heap_bytes();
        candidate_index index;
        const tag_number image = index.tag("image 1");
        for (worker_slot worker = 0; worker < workers; ++worker)
            index.put(worker, {service, number(16'000), number(16'000), {image}});
        out.add("memory", workers, (heap_bytes() - before) / workers, "bytes/worker");
        std::uint64_t met = 0;
        std::size_t left = 0;
        const auto visit = [&](worker_slot worker) {
            met += worker;
            return --left > 0;
        };
        const double by_room = median_seconds(5, [&] {
            for (int search = 0; search < searches; ++search) {
                left = most;
                index.visit_free(service, 2'000, static_cast<std::uint64_t>(search), visit);
            }
        });
        out.add("by room", workers, by_room * 1e6 / searches, "us");
        const double by_sample = median_seconds(5, [&] {
            for (int search = 0; search < searches; ++search) {
                left = most;
                index.visit_best_effort(service, 2'000, most, static_cast<std::uint64_t>(search),
                                        visit);
            }
        });
        out.add("by sample", workers, by_sample * 1e6 / searches, "us");
        const double updates = median_seconds(5, [&] {
            for (int search = 0; search < searches; ++search)
                index.put(static_cast<worker_slot>(number(workers - 1)),
                          {service, number(16'000), number(16'000), {image}});
        });
        out.add("update", workers, updates * 1e6 / searches, "us");
        keep(met);
    }
}
