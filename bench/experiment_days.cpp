#include "bench/bench_report.h"
#include "tools/experiment/day_runner.h"
#include "tools/experiment/load_file.h"

#include <sys/resource.h>

#include <cstdlib>
#include <iostream>

namespace {

using namespace figwinch;
using namespace figwinch::experiment;

constexpr std::size_t threads = 6;
constexpr double seconds_a_minute = 60;

/// The most that this process has had in memory so far.
double peak_mib() {
    rusage used{};
    getrusage(RUSAGE_SELF, &used);
    constexpr double kib_per_mib = 1024;
    return static_cast<double>(used.ru_maxrss) / kib_per_mib;
}

void measure(const bench_report& out, const std::string& load, std::size_t days) {
    auto read = read_load_file(FIGWINCH_SOURCE_DIR "/experiments/loads/" + load + ".json");
    if (!read.ok()) {
        std::cerr << read.status() << '\n';
        std::exit(1);
    }
    const setup with{"base", *std::move(read), {}};
    const double seconds = median_seconds(1, [&] {
        play_days({with}, {1, days, threads}, [](std::size_t, std::size_t) {});
    });
    out.add(load, with.load.workers, static_cast<double>(days) / seconds * seconds_a_minute,
            "days/min");
    out.add(load + "_peak", with.load.workers, peak_mib(), "MiB");
}

} // namespace

// Days of a minute that six threads play, and the process's memory with six days at a time; the
// smaller loads first, since a peak stays.
FIGWINCH_BENCH(experiment_days) {
    constexpr std::size_t small_days = 24;
    constexpr std::size_t large_days = 12;
    for (const char* const load : {"crowded", "burst_of_wide_jobs", "data_centre_lost",
                                   "serving_beside_filling", "slow_log"})
        measure(out, load, small_days);
    measure(out, "many_small_workers", large_days);
}
