#include "cell_host/cell_host_settings.h"

#include <absl/flags/flag.h>

#include <algorithm>

ABSL_FLAG(std::string, node, "", "name of this host, the same after a restart");
ABSL_FLAG(std::string, data_centre, "", "data centre of this host");
ABSL_FLAG(std::string, callers, "127.0.0.1:8080", "IP number and port for callers");
ABSL_FLAG(std::string, ready, "127.0.0.1:8081", "IP number and port where readiness is asked");
ABSL_FLAG(std::string, bus, "127.0.0.1:7000", "IP number and port for peers");
ABSL_FLAG(std::string, metrics, "127.0.0.1:7001", "IP number and port of GET /metrics");
ABSL_FLAG(std::string, log, "127.0.0.1:7100", "the platform's store");
ABSL_FLAG(std::string, advisor, "",
          "IP number and port of the advisor on workers; empty: no queue asks for one");
ABSL_FLAG(double, cpu_share, 1, "share of a core that this process may use; 1: a whole one");
ABSL_FLAG(double, link_mbps, 1000, "what this host's own link carries, megabits/s");
ABSL_FLAG(int, grace_s, 6, "from SIGTERM until the platform kills the process, s");
ABSL_FLAG(int, max_record_bytes, 262'144,
          "largest record that the log takes, bytes; figwinch writes none over 262144");
ABSL_FLAG(int, max_hold_ms, 6000, "longest lease that a worker grants, ms");
ABSL_FLAG(int, stop_ms, 900, "longest time that a stop takes on a worker, ms");
ABSL_FLAG(int, status_s, 120, "how long the state of ended jobs is kept, s");
ABSL_FLAG(int, gang_ms, 3000, "how long members of a gang wait for one another, ms");
ABSL_FLAG(int, leave_ms, 2000, "from a worker's notice that it leaves to its last start, ms");
ABSL_FLAG(int, shrink_ms, 3000,
          "from the notice that a worker's capacity shrinks to the last start that exceeds it, ms");
ABSL_FLAG(int, evacuate_ms, 5000, "from taking a data centre out to the last start there, ms");
ABSL_FLAG(double, far_factor, 2, "how much longer a task takes away from its data");
ABSL_FLAG(bool, log_debug, false, "write debug lines too");

namespace figwinch {
namespace {

endpoint read_endpoint(const absl::Flag<std::string>& flag) {
    return parse_endpoint(absl::GetFlag(flag)).value_or(endpoint{});
}

duration read_ms(const absl::Flag<int>& flag) {
    return std::chrono::milliseconds(absl::GetFlag(flag));
}

} // namespace

void check_cell_flags(settings_reader& reader) {
    reader.require(!absl::GetFlag(FLAGS_node).empty(), "node", "", "a name");
    reader.require(!absl::GetFlag(FLAGS_data_centre).empty(), "data_centre", "", "a name");
    reader.require_endpoint("callers", absl::GetFlag(FLAGS_callers));
    reader.require_endpoint("ready", absl::GetFlag(FLAGS_ready));
    reader.require_endpoint("bus", absl::GetFlag(FLAGS_bus));
    reader.require_endpoint("metrics", absl::GetFlag(FLAGS_metrics));
    reader.require_endpoint("log", absl::GetFlag(FLAGS_log));
    if (!absl::GetFlag(FLAGS_advisor).empty())
        reader.require_endpoint("advisor", absl::GetFlag(FLAGS_advisor));
    const double share = absl::GetFlag(FLAGS_cpu_share);
    reader.require(share > 0 && share <= 1024, "cpu_share", std::to_string(share), "0 to 1024");
    const double link = absl::GetFlag(FLAGS_link_mbps);
    reader.require(link > 0 && link <= 1e6, "link_mbps", std::to_string(link), "0 to 1000000");
    reader.require_range("grace_s", absl::GetFlag(FLAGS_grace_s), 1, 600, "s");
    reader.require_range("max_record_bytes", absl::GetFlag(FLAGS_max_record_bytes), 4096,
                         1'000'000'000, "bytes");
    reader.require_range("max_hold_ms", absl::GetFlag(FLAGS_max_hold_ms), 1000, 600'000, "ms");
    reader.require_range("stop_ms", absl::GetFlag(FLAGS_stop_ms), 1, 60'000, "ms");
    reader.require_range("status_s", absl::GetFlag(FLAGS_status_s), 1, 86'400, "s");
    reader.require_range("gang_ms", absl::GetFlag(FLAGS_gang_ms), 1, 600'000, "ms");
    reader.require_range("leave_ms", absl::GetFlag(FLAGS_leave_ms), 1000, 600'000, "ms");
    reader.require_range("shrink_ms", absl::GetFlag(FLAGS_shrink_ms), 2000, 600'000, "ms");
    reader.require_range("evacuate_ms", absl::GetFlag(FLAGS_evacuate_ms), 1000, 600'000, "ms");
    const double far = absl::GetFlag(FLAGS_far_factor);
    reader.require(far >= 1 && far <= 100, "far_factor", std::to_string(far), "1 to 100");
}

cell_host_settings read_cell_flags() {
    cell_host_settings settings;
    settings.node = absl::GetFlag(FLAGS_node);
    settings.data_centre = absl::GetFlag(FLAGS_data_centre);
    settings.callers = read_endpoint(FLAGS_callers);
    settings.ready = read_endpoint(FLAGS_ready);
    settings.bus = read_endpoint(FLAGS_bus);
    settings.metrics = read_endpoint(FLAGS_metrics);
    settings.log = read_endpoint(FLAGS_log);
    settings.advisor = parse_endpoint(absl::GetFlag(FLAGS_advisor));
    settings.cpu_share = absl::GetFlag(FLAGS_cpu_share);
    settings.link_mbps = absl::GetFlag(FLAGS_link_mbps);
    settings.grace = std::chrono::seconds(absl::GetFlag(FLAGS_grace_s));
    settings.cell.max_granted_lease = read_ms(FLAGS_max_hold_ms);
    settings.cell.max_record_bytes =
        std::min(static_cast<std::size_t>(absl::GetFlag(FLAGS_max_record_bytes)),
                 cell_settings{}.max_record_bytes);
    settings.cell.stop_timeout = read_ms(FLAGS_stop_ms);
    settings.cell.status_retention = std::chrono::seconds(absl::GetFlag(FLAGS_status_s));
    settings.cell.gang_start_window = read_ms(FLAGS_gang_ms);
    settings.cell.leave_notice = read_ms(FLAGS_leave_ms);
    settings.cell.shrink_notice = read_ms(FLAGS_shrink_ms);
    settings.cell.evacuation_notice = read_ms(FLAGS_evacuate_ms);
    settings.cell.remote_data_slowdown = absl::GetFlag(FLAGS_far_factor);
    settings.level = absl::GetFlag(FLAGS_log_debug) ? log_level::debug : log_level::info;
    return settings;
}

} // namespace figwinch
