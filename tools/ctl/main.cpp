// figwinchctl: checks, publishes and compares manifests, takes data centres out and back, shows
// state and audit.

#include "ctl/ctl_commands.h"
#include "figwinch/observe.h"

#include <absl/flags/flag.h>

#include <cstdint>
#include <iostream>
#include <string>

ABSL_FLAG(std::string, log, "127.0.0.1:7100", "IP number and port of the platform's log");
ABSL_FLAG(std::string, node, "figwinchctl", "name by which the log knows this caller");
ABSL_FLAG(std::int64_t, timeout_ms, 10'000, "longest time for one command, 100 to 600000 ms");
ABSL_FLAG(std::string, author, "operator", "who asks for the change, for the audit trail");
ABSL_FLAG(std::string, comment, "", "why, for the audit trail");
ABSL_FLAG(std::int64_t, base_version, 0,
          "version that the manifest was made from; a change that came in between makes this one "
          "lose; 0: the version in force");
ABSL_FLAG(bool, json, false, "print JSON");

namespace {

constexpr std::int64_t min_timeout_ms = 100;
constexpr std::int64_t max_timeout_ms = 600'000;
constexpr std::int64_t max_version = 1'000'000'000'000;

figwinch::program_info about() {
    return {
        "figwinchctl",
        "checks, publishes and compares manifests, takes data centres out and back.\n"
        "Commands:\n"
        "  cell HOST     a host of a cell, by the address of its metrics: coordinator, workers, "
        "and\n"
        "                why jobs wait (--json: the whole status)\n"
        "  check FILE    checks a manifest and lists every fault; asks nothing of the log\n"
        "  publish FILE  puts a manifest into force and waits until it is\n"
        "  drain DC      takes a data centre out: nothing starts in it any more\n"
        "  restore DC    takes a data centre back in\n"
        "  diff FILE     what publishing FILE would change\n"
        "  history       the audit trail: every change, who made it, what became of it\n"
        "  state         the configuration in force (--json: the whole manifest)\n"
        "Exit codes: 0 done; 1 invalid, faults are printed; 2 flags, arguments or files;\n"
        "3 another change came first, it is named; 4 the log can't be used, nothing was\n"
        "published; 5 the log went silent, the change may come into force; 6 diff differs",
        {"figwinchctl --log=10.0.0.9:7100 check manifest.json",
         "figwinchctl --log=10.0.0.9:7100 --author=pipeline --base_version=41 publish "
         "manifest.json",
         "figwinchctl --log=10.0.0.9:7100 --author=ana --comment=\"power work\" drain mu-north-a",
         "figwinchctl --log=10.0.0.9:7100 --json history"}};
}

} // namespace

int main(int argc, char** argv) {
    using namespace figwinch;
    constexpr int usage = static_cast<int>(exit_code::usage);
    settings_reader reader(about(), argc, argv);
    reader.require_endpoint("log", absl::GetFlag(FLAGS_log));
    reader.require_range("timeout_ms", absl::GetFlag(FLAGS_timeout_ms), min_timeout_ms,
                         max_timeout_ms, "ms");
    reader.require_range("base_version", absl::GetFlag(FLAGS_base_version), 0, max_version,
                         "versions");
    if (!reader.accept())
        return usage;
    ctl_settings settings;
    settings.log = parse_endpoint(absl::GetFlag(FLAGS_log)).value();
    settings.self = node_id(absl::GetFlag(FLAGS_node));
    settings.limit = std::chrono::milliseconds(absl::GetFlag(FLAGS_timeout_ms));
    settings.author = absl::GetFlag(FLAGS_author);
    settings.comment = absl::GetFlag(FLAGS_comment);
    const auto base = static_cast<std::uint64_t>(absl::GetFlag(FLAGS_base_version));
    if (base != 0)
        settings.base = config_version(base);
    settings.form = absl::GetFlag(FLAGS_json) ? report_form::json : report_form::text;

    std::vector<std::string> arguments = reader.arguments();
    const std::string command = arguments.empty() ? "" : arguments.front();
    if (!arguments.empty())
        arguments.erase(arguments.begin());
    const std::optional<ctl_report> report = ctl_commands(settings).run(command, arguments);
    if (!report.has_value()) {
        std::cerr << "error 900: no such command, or another number of arguments; see --help\n";
        return usage;
    }
    std::cout << report->output;
    return static_cast<int>(report->exit);
}
