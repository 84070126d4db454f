// Reads a setting, writes a log line and prints metrics. Try --help, --greetings=2 or
// FIGWINCH_GREETINGS=2.

#include "figwinch/observe.h"

#include <absl/flags/flag.h>
#include <prometheus/counter.h>

#include <iostream>

ABSL_FLAG(int, greetings, 1, "how often to greet, 1 to 10 times");

int main(int argc, char** argv) {
    figwinch::settings_reader settings(
        {"example-observe", "greets in its log", {"example-observe --greetings=2"}}, argc, argv);
    settings.require_range("greetings", absl::GetFlag(FLAGS_greetings), 1, 10, "times");
    if (!settings.accept())
        return 2;

    figwinch::start_logging("example-observe", "host-1", figwinch::log_level::info);
    figwinch::metrics numbers;
    auto& greeted = numbers.counter("figwinch_example_greetings_total", "greetings written");
    for (int i = 1; i <= absl::GetFlag(FLAGS_greetings); ++i) {
        figwinch::log_event(figwinch::log_level::info, "greeted", {{"number", std::int64_t{i}}});
        greeted.Increment();
    }
    std::cout << numbers.expose();
}
