// Runs the benches of one binary: `BINARY [--csv] [NAME]`.

#include "bench/bench_report.h"

int main(int argc, char** argv) {
    const std::vector<std::string_view> arguments(argv + 1, argv + argc);
    const bool csv = std::ranges::count(arguments, "--csv") > 0;
    const auto name = std::ranges::find_if(
        arguments, [](std::string_view argument) { return !argument.starts_with("--"); });
    int ran = 0;
    for (const figwinch::registered_bench& bench : figwinch::registered_benches()) {
        if (name != arguments.end() && bench.name != *name)
            continue;
        bench.run(figwinch::bench_report(std::string(bench.name), csv));
        ++ran;
    }
    return ran > 0 ? 0 : 1;
}
