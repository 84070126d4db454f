// figwinch-scheduler: holds leases on a share of its data centre's workers and owns a share of its
// jobs.

#include "scheduler/scheduler_daemon.h"

#include <absl/flags/flag.h>
#include <absl/strings/str_split.h>

#include <csignal>
#include <iostream>
#include <random>

ABSL_FLAG(std::string, node, "", "name of this process, the same after a restart");
ABSL_FLAG(std::string, data_centre, "", "data centre that this process is in");
ABSL_FLAG(std::string, bus_address, "127.0.0.1:7301", "where peers reach this process");
ABSL_FLAG(std::string, http_address, "127.0.0.1:7302", "where /health, /ready and /metrics are");
ABSL_FLAG(std::string, log, "127.0.0.1:7100", "the platform's log");
ABSL_FLAG(std::string, peers, "", "bus addresses of some peers, separated by commas");
ABSL_FLAG(std::int64_t, heartbeat_ms, 500, "period of heartbeats to peers, 50 to 60000 ms");
ABSL_FLAG(std::int64_t, poll_ms, 200, "period of reads of the log, 20 to 2000 ms");
ABSL_FLAG(std::int64_t, worker_lease_ms, 15'000, "lease on a worker, 1000 to 600000 ms");
ABSL_FLAG(std::int64_t, renew_ms, 5'000, "period of lease renewals, 100 to 200000 ms");
ABSL_FLAG(std::int64_t, task_lease_ms, 30'000, "lease on a task, 1000 to 600000 ms");
ABSL_FLAG(std::int64_t, safety_margin_ms, 2'000, "lease left that starts need, 100 to 60000 ms");
ABSL_FLAG(std::int64_t, flush_ms, 200, "period of appends to the jobs stream, 20 to 10000 ms");
ABSL_FLAG(std::int64_t, snapshot_ms, 3'600'000,
          "period in which each job is written again, 1000 to 86400000 ms; the log must keep "
          "records three times as long");
ABSL_FLAG(std::int64_t, renew_unconfirmed_ms, 120'000,
          "how long leases are renewed while the log is silent, 5000 to 3600000 ms");
ABSL_FLAG(std::int64_t, stop_limit_ms, 10'000, "longest planned stop, 1000 to 600000 ms");

namespace {

using namespace figwinch;

std::string random_suffix() {
    std::random_device device;
    const std::uint64_t value = (static_cast<std::uint64_t>(device()) << 32U) | device();
    return std::to_string(value);
}

bool check(settings_reader& reader) {
    reader.require(!absl::GetFlag(FLAGS_node).empty(), "node", "", "a name");
    reader.require(!absl::GetFlag(FLAGS_data_centre).empty(), "data_centre", "", "a name");
    reader.require_endpoint("bus_address", absl::GetFlag(FLAGS_bus_address));
    reader.require_endpoint("http_address", absl::GetFlag(FLAGS_http_address));
    reader.require_endpoint("log", absl::GetFlag(FLAGS_log));
    reader.require_range("heartbeat_ms", absl::GetFlag(FLAGS_heartbeat_ms), 50, 60'000, "ms");
    reader.require_range("poll_ms", absl::GetFlag(FLAGS_poll_ms), 20, 2'000, "ms");
    reader.require_range("worker_lease_ms", absl::GetFlag(FLAGS_worker_lease_ms), 1000, 600'000,
                         "ms");
    reader.require_range("renew_ms", absl::GetFlag(FLAGS_renew_ms), 100, 200'000, "ms");
    reader.require_range("task_lease_ms", absl::GetFlag(FLAGS_task_lease_ms), 1000, 600'000, "ms");
    reader.require_range("safety_margin_ms", absl::GetFlag(FLAGS_safety_margin_ms), 100, 60'000,
                         "ms");
    reader.require_range("flush_ms", absl::GetFlag(FLAGS_flush_ms), 20, 10'000, "ms");
    reader.require_range("snapshot_ms", absl::GetFlag(FLAGS_snapshot_ms), 1000, 86'400'000, "ms");
    reader.require_range("renew_unconfirmed_ms", absl::GetFlag(FLAGS_renew_unconfirmed_ms), 5000,
                         3'600'000, "ms");
    reader.require_range("stop_limit_ms", absl::GetFlag(FLAGS_stop_limit_ms), 1000, 600'000, "ms");
    const std::int64_t lease = absl::GetFlag(FLAGS_worker_lease_ms);
    const bool sane = absl::GetFlag(FLAGS_renew_ms) + absl::GetFlag(FLAGS_safety_margin_ms) < lease;
    reader.require(sane, "worker_lease_ms", std::to_string(lease),
                   "longer than renew_ms and safety_margin_ms together");
    return reader.accept();
}

daemon_settings read_settings() {
    using ms = std::chrono::milliseconds;
    daemon_settings with;
    with.bus_address = *parse_endpoint(absl::GetFlag(FLAGS_bus_address));
    with.http_address = *parse_endpoint(absl::GetFlag(FLAGS_http_address));
    with.log = *parse_endpoint(absl::GetFlag(FLAGS_log));
    for (const std::string& peer : std::vector<std::string>(
             absl::StrSplit(absl::GetFlag(FLAGS_peers), ',', absl::SkipEmpty())))
        with.peers.push_back(peer);
    with.heartbeat_period = ms(absl::GetFlag(FLAGS_heartbeat_ms));
    with.poll_period = ms(absl::GetFlag(FLAGS_poll_ms));
    with.stop_limit = ms(absl::GetFlag(FLAGS_stop_limit_ms));
    scheduler_settings& rules = with.rules;
    rules.self.node = node_id(absl::GetFlag(FLAGS_node));
    rules.self.incarnation = incarnation_id(absl::GetFlag(FLAGS_node) + '#' + random_suffix());
    rules.self.role = member_role::scheduler;
    rules.self.data_centre = data_centre_id(absl::GetFlag(FLAGS_data_centre));
    rules.self.address = absl::GetFlag(FLAGS_bus_address);
    rules.self.state = member_state::live;
    rules.leases.worker_lease = ms(absl::GetFlag(FLAGS_worker_lease_ms));
    rules.leases.renew_every = ms(absl::GetFlag(FLAGS_renew_ms));
    rules.leases.task_lease = ms(absl::GetFlag(FLAGS_task_lease_ms));
    rules.leases.safety_margin = ms(absl::GetFlag(FLAGS_safety_margin_ms));
    rules.flush_every = ms(absl::GetFlag(FLAGS_flush_ms));
    rules.snapshot_every = ms(absl::GetFlag(FLAGS_snapshot_ms));
    rules.renew_unconfirmed = ms(absl::GetFlag(FLAGS_renew_unconfirmed_ms));
    return with;
}

} // namespace

int main(int argc, char** argv) {
    settings_reader reader(
        {"figwinch-scheduler",
         "holds leases on a share of its data centre's workers and runs batch jobs on them",
         {"figwinch-scheduler --node=a --data_centre=mu-north-1 --log=127.0.0.1:7100"}},
        argc, argv);
    if (!check(reader))
        return 2;
    const daemon_settings with = read_settings();
    start_logging("figwinch-scheduler", with.rules.self.node.str(), log_level::info);
    event_loop loop;
    const system_clock time;
    scheduler_daemon daemon(loop, time, with);
    const absl::Status status = daemon.start();
    if (!status.ok()) {
        std::cerr << status.message() << '\n';
        return 2;
    }
    log_event(log_level::info, "started", {{"incarnation", with.rules.self.incarnation.str()}});
    const auto on_term = loop.on_signal(SIGTERM, [&daemon] { daemon.begin_stop(); });
    const auto on_interrupt = loop.on_signal(SIGINT, [&daemon] { daemon.begin_stop(); });
    loop.run();
    return 0;
}
