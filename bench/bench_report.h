#pragma once

#include <malloc.h>

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iomanip>
#include <iostream>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace figwinch {

/// Prints the figures of one bench, for people or, with `--csv`, as lines of
/// `bench,metric,size,value,unit` that `tools/capacity_report` collects.
class bench_report {
public:
    bench_report(std::string bench, bool csv) : bench_(std::move(bench)), csv_(csv) {}

    /// One figure. `size` is what the metric grows with (workers, tasks, percent of load); a slope
    /// needs the same metric at four sizes or more.
    void add(std::string_view metric, std::int64_t size, double value,
             std::string_view unit) const {
        if (csv_) {
            std::cout << bench_ << ',' << metric << ',' << size << ',' << std::setprecision(9)
                      << value << ',' << unit << '\n';
            return;
        }
        std::cout << std::left << std::setw(24) << bench_ << std::setw(36) << metric << std::right
                  << std::setw(10) << size << std::setw(16) << std::setprecision(6) << value << ' '
                  << unit << '\n';
    }

private:
    std::string bench_;
    bool csv_;
};

/// A bench that registers itself by the name of its function; see FIGWINCH_BENCH.
struct registered_bench {
    std::string_view name;
    void (*run)(const bench_report&);
};

inline std::vector<registered_bench>& registered_benches() {
    static std::vector<registered_bench> all;
    return all;
}

inline bool register_bench(std::string_view name, void (*run)(const bench_report&)) {
    registered_benches().push_back({name, run});
    return true;
}

/// Median of a list of figures; the list must not be empty.
inline double median(std::vector<double> values) {
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    return *middle;
}

/// Median over `runs` runs of the seconds that `work` takes.
template <class Work>
double median_seconds(int runs, Work&& work) {
    std::vector<double> seconds;
    for (int i = 0; i < runs; ++i) {
        const auto start = std::chrono::steady_clock::now();
        work();
        seconds.push_back(
            std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count());
    }
    return median(std::move(seconds));
}

/// Bytes of heap in use; the difference of two calls is the state that was built between them.
inline double heap_bytes() {
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

/// Keeps the compiler from dropping work whose result nobody reads.
inline void keep(std::uint64_t value) {
    [[maybe_unused]] static volatile std::uint64_t sink = 0;
    sink = value;
}

} // namespace figwinch

// NOLINTBEGIN(bugprone-macro-parentheses): a function's name can't stand in parentheses.
/// Declares a bench: `FIGWINCH_BENCH(config_fold) { out.add("fold", size, value, "us"); }`.
#define FIGWINCH_BENCH(bench_name)                                                                 \
    static void bench_name(const figwinch::bench_report& out);                                     \
    [[maybe_unused]] static const bool bench_name##_registered =                                   \
        figwinch::register_bench(#bench_name, &bench_name);                                        \
    static void bench_name(const figwinch::bench_report& out)
// NOLINTEND(bugprone-macro-parentheses)
