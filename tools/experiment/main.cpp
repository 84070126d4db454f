// figwinch-experiment: plays days of a load in simulated time with the production coordinator, and
// compares two settings seed by seed.

#include "tools/experiment/day_runner.h"
#include "tools/experiment/load_file.h"
#include "tools/experiment/results.h"

#include "figwinch/observe.h"

#include <absl/flags/flag.h>

#include <fstream>
#include <iostream>

ABSL_FLAG(std::string, load, "", "JSON file of the load; see docs/experiments.md");
ABSL_FLAG(std::uint64_t, first_seed, 1, "seed of the first day; the next days have the next ones");
ABSL_FLAG(std::int64_t, seeds, 8, "days to play with each setup, 1 to 100000");
ABSL_FLAG(std::int64_t, threads, 1, "days that are played at a time, 1 to 256");
ABSL_FLAG(std::string, base, "", "settings that differ from the defaults, name=value,...");
ABSL_FLAG(std::string, variant, "", "the same of what is compared with it; empty: no comparison");
ABSL_FLAG(std::string, csv, "", "file to write a line for each setup, seed and class to");
ABSL_FLAG(std::string, pairs_csv, "", "file to write a line for each comparison to");
ABSL_FLAG(std::string, json, "", "file to write days and comparisons to");

namespace figwinch::experiment {
namespace {

constexpr int exit_files = 1;
constexpr int exit_settings = 2;

load_spec read_load_flag(settings_reader& settings) {
    const std::string file = absl::GetFlag(FLAGS_load);
    const auto load = read_load_file(file);
    settings.require(load.ok(), "load", file,
                     "a load (" + std::string(load.status().message()) + ")");
    return load.ok() ? *load : load_spec{};
}

void add_setup(settings_reader& settings, const std::string& name, const std::string& changes,
               const load_spec& load, std::vector<setup>& into) {
    // Its own fault has been told.
    if (load.classes.empty())
        return;
    auto made = make_setup(name, load, changes);
    settings.require(made.ok(), name, changes,
                     "settings (" + std::string(made.status().message()) + ")");
    if (made.ok())
        into.push_back(*std::move(made));
}

void show_progress(std::size_t played, std::size_t of) {
    std::cerr << "played " << played << " of " << of << " days\n";
}

bool write_file(const std::string& file, const results& found,
                void (*write)(std::ostream&, const results&)) {
    if (file.empty())
        return true;
    std::ofstream out(file);
    write(out, found);
    out.flush();
    if (!out.good())
        std::cerr << "figwinch-experiment: can't write " << file << '\n';
    return out.good();
}

bool write_files(const results& found) {
    const bool days = write_file(absl::GetFlag(FLAGS_csv), found, write_days_csv);
    const bool pairs = write_file(absl::GetFlag(FLAGS_pairs_csv), found, write_pairs_csv);
    const bool json = write_file(absl::GetFlag(FLAGS_json), found, write_json);
    return days && pairs && json;
}

int run_program(int argc, char** argv) {
    settings_reader settings(
        {"figwinch-experiment",
         "plays days of a load in simulated time with the production coordinator",
         {"figwinch-experiment --load=experiments/loads/crowded.json --seeds=20 --threads=6",
          "figwinch-experiment --load=experiments/loads/data_centre_lost.json --seeds=20 "
          "--threads=6 --variant=max_hold_ms=3000 --csv=days.csv --json=days.json"}},
        argc, argv);
    settings.require_range("seeds", absl::GetFlag(FLAGS_seeds), 1, 100'000, "days");
    settings.require_range("threads", absl::GetFlag(FLAGS_threads), 1, 256, "threads");
    const load_spec load = read_load_flag(settings);
    std::vector<setup> setups;
    add_setup(settings, "base", absl::GetFlag(FLAGS_base), load, setups);
    if (const std::string changes = absl::GetFlag(FLAGS_variant); !changes.empty())
        add_setup(settings, "variant", changes, load, setups);
    if (!settings.accept())
        return exit_settings;
    const day_range range{absl::GetFlag(FLAGS_first_seed),
                          static_cast<std::size_t>(absl::GetFlag(FLAGS_seeds)),
                          static_cast<std::size_t>(absl::GetFlag(FLAGS_threads))};
    results found;
    found.days = play_days(setups, range, show_progress);
    if (found.days.size() == 2)
        found.compared = compare_days(found.days.front(), found.days.back());
    print_results(std::cout, found);
    return write_files(found) ? 0 : exit_files;
}

} // namespace
} // namespace figwinch::experiment

int main(int argc, char** argv) {
    return figwinch::experiment::run_program(argc, argv);
}
