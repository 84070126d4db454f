// figwinch-load: sends a recorded trace or Poisson arrivals to the entries and reports what became
// of every request and job.

#include "tools/load/load_run.h"
#include "tools/load/report.h"

#include "figwinch/observe.h"

#include <absl/flags/flag.h>
#include <google/protobuf/util/json_util.h>

#include <fstream>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string, entries, "127.0.0.1:8080",
          "IP numbers and ports of entries, separated by commas, asked in turn");
ABSL_FLAG(std::string, trace, "", "file of JSON lines to replay; empty: Poisson arrivals");
ABSL_FLAG(double, rate, 50, "Poisson: requests a second, above 0 to 10000");
ABSL_FLAG(double, seconds, 10, "Poisson: length, above 0 to 3600 s");
ABSL_FLAG(std::uint64_t, seed, 1, "Poisson: seed; the same seed gives the same arrivals");
ABSL_FLAG(std::string, service, "reference-pass", "Poisson: service");
ABSL_FLAG(std::string, customer, "studio-a", "Poisson: customer");
ABSL_FLAG(bool, idempotent, false, "Poisson: requests may run twice");
ABSL_FLAG(std::int64_t, deadline_ms, 5000, "Poisson: deadline, 1 to 600000 ms");
ABSL_FLAG(std::int64_t, work_ms, 10, "Poisson: work of the executor, 0 to 600000 ms");
ABSL_FLAG(std::int64_t, settle_s, 60, "how long to follow after the last event, 0 to 3600 s");
ABSL_FLAG(std::string, expect, "", "file of stated outcomes to compare with; exit 1 if missed");
ABSL_FLAG(std::string, csv, "", "file to write a line for each request and job to");
ABSL_FLAG(std::string, json, "", "file to write the summary to");
ABSL_FLAG(std::string, svg, "", "file to plot latency over time to");

namespace figwinch::load {
namespace {

constexpr int exit_missed = 1;
constexpr int exit_settings = 2;

std::vector<endpoint> read_entries(settings_reader& settings) {
    std::vector<endpoint> entries;
    std::istringstream words(absl::GetFlag(FLAGS_entries));
    for (std::string word; std::getline(words, word, ',');) {
        settings.require_endpoint("entries", word);
        if (const auto where = parse_endpoint(word))
            entries.push_back(*where);
    }
    settings.require(!entries.empty(), "entries", absl::GetFlag(FLAGS_entries),
                     "at least one entry");
    return entries;
}

trace read_events(settings_reader& settings) {
    const std::string file = absl::GetFlag(FLAGS_trace);
    if (file.empty()) {
        poisson_settings poisson;
        poisson.rate = absl::GetFlag(FLAGS_rate);
        poisson.seconds = absl::GetFlag(FLAGS_seconds);
        poisson.seed = absl::GetFlag(FLAGS_seed);
        poisson.service = absl::GetFlag(FLAGS_service);
        poisson.customer = absl::GetFlag(FLAGS_customer);
        poisson.idempotent = absl::GetFlag(FLAGS_idempotent);
        poisson.deadline_ms = absl::GetFlag(FLAGS_deadline_ms);
        poisson.work_ms = absl::GetFlag(FLAGS_work_ms);
        return poisson_trace(poisson);
    }
    std::ifstream in(file);
    const auto events = read_trace(in);
    const std::string fault =
        in.is_open() ? std::string(events.status().message()) : "not readable";
    settings.require(in.is_open() && events.ok(), "trace", file, "a trace (" + fault + ")");
    return events.ok() ? *events : trace{};
}

void check_ranges(settings_reader& settings) {
    constexpr double max_rate = 10'000;
    constexpr double max_seconds = 3600;
    constexpr std::int64_t max_ms = 600'000;
    constexpr std::int64_t max_settle_s = 3600;
    const double rate = absl::GetFlag(FLAGS_rate);
    const double seconds = absl::GetFlag(FLAGS_seconds);
    settings.require(rate > 0 && rate <= max_rate, "rate", std::to_string(rate),
                     "above 0 to 10000 requests a second");
    settings.require(seconds > 0 && seconds <= max_seconds, "seconds", std::to_string(seconds),
                     "above 0 to 3600 s");
    settings.require_range("deadline_ms", absl::GetFlag(FLAGS_deadline_ms), 1, max_ms, "ms");
    settings.require_range("work_ms", absl::GetFlag(FLAGS_work_ms), 0, max_ms, "ms");
    settings.require_range("settle_s", absl::GetFlag(FLAGS_settle_s), 0, max_settle_s, "s");
}

pb::TraceExpectation read_expectation(settings_reader& settings) {
    pb::TraceExpectation expected;
    const std::string file = absl::GetFlag(FLAGS_expect);
    if (file.empty())
        return expected;
    const std::ifstream in(file);
    std::ostringstream text;
    text << in.rdbuf();
    const auto parsed = google::protobuf::util::JsonStringToMessage(text.str(), &expected);
    settings.require(parsed.ok(), "expect", file, "stated outcomes (" + parsed.ToString() + ")");
    return expected;
}

void write_files(const load_run& run, const pb::LoadSummary& summary) {
    if (const std::string file = absl::GetFlag(FLAGS_csv); !file.empty()) {
        std::ofstream out(file);
        write_csv(out, run.requests(), run.jobs());
    }
    if (const std::string file = absl::GetFlag(FLAGS_svg); !file.empty()) {
        std::ofstream out(file);
        write_svg(out, run.requests());
    }
    if (const std::string file = absl::GetFlag(FLAGS_json); !file.empty()) {
        google::protobuf::util::JsonPrintOptions options;
        options.add_whitespace = true;
        options.always_print_primitive_fields = true;
        options.preserve_proto_field_names = true;
        std::string text;
        (void)google::protobuf::util::MessageToJsonString(summary, &text, options);
        std::ofstream(file) << text;
    }
}

int report(const load_run& run, const pb::TraceExpectation& expected) {
    const pb::LoadSummary summary = summarise(run.requests(), run.jobs());
    print_summary(std::cout, summary);
    write_files(run, summary);
    if (absl::GetFlag(FLAGS_expect).empty())
        return 0;
    const std::vector<std::string> missed = compare(summary, expected);
    for (const std::string& miss : missed)
        std::cout << "missed: " << miss << '\n';
    std::cout << (missed.empty() ? "every stated outcome was met\n" : "");
    return missed.empty() ? 0 : exit_missed;
}

int run_program(int argc, char** argv) {
    settings_reader settings(
        {"figwinch-load",
         "sends a recorded trace or Poisson arrivals to entries and reports what became of it",
         {"figwinch-load --entries=127.0.0.1:8080 --rate=100 --seconds=10",
          "figwinch-load --entries=127.0.0.1:8080,127.0.0.1:8081 --trace=traces/mastering.jsonl "
          "--expect=traces/mastering.expected.json --csv=out.csv --svg=out.svg"}},
        argc, argv);
    check_ranges(settings);
    run_settings with;
    with.entries = read_entries(settings);
    with.settle = std::chrono::seconds(absl::GetFlag(FLAGS_settle_s));
    trace events = read_events(settings);
    const pb::TraceExpectation expected = read_expectation(settings);
    if (!settings.accept())
        return exit_settings;
    event_loop loop;
    const system_clock time;
    load_run run(loop, time, with, std::move(events));
    run.start([&loop] { loop.stop(); });
    loop.run();
    return report(run, expected);
}

} // namespace
} // namespace figwinch::load

int main(int argc, char** argv) {
    return figwinch::load::run_program(argc, argv);
}
