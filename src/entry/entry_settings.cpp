#include "entry/entry_settings.h"

#include "entry/interactive_request.h"

#include <absl/flags/flag.h>
#include <absl/strings/str_split.h>

#include <random>

ABSL_FLAG(std::string, node, "", "name of this entry, the same after a restart");
ABSL_FLAG(std::string, data_centre, "", "data centre of this entry");
ABSL_FLAG(std::string, http_address, "127.0.0.1:8080", "IP number and port for callers");
ABSL_FLAG(std::string, bus_address, "127.0.0.1:7000", "IP number and port for peers");
ABSL_FLAG(std::string, log, "127.0.0.1:7100", "the platform's log and host list");
ABSL_FLAG(std::string, peers, "", "bus addresses of other entries and schedulers, by commas");
ABSL_FLAG(int, entries, 1, "entries of the region, this one included; the same everywhere");
ABSL_FLAG(int, claim_window_s, 60, "how long claims of non-idempotent requests are kept, s");
ABSL_FLAG(int, claim_use_s, 20, "how long a claim may be used; at most a third of the window, s");
ABSL_FLAG(int, max_claims, 100'000, "claims kept; beyond it non-idempotent requests are refused");
ABSL_FLAG(bool, first_sends_alone, true, "run marked first sends when cut off from other entries");
ABSL_FLAG(int, max_header_bytes, 16'384, "longest head of a request, bytes");
ABSL_FLAG(int, max_body_bytes, 1'048'576, "longest body of a request, bytes");
ABSL_FLAG(int, max_connections, 4096, "connections of callers");
ABSL_FLAG(int, max_waiting, 2000, "requests that wait for a slot");
ABSL_FLAG(int, log_retention_s, 3600, "how long the platform's log keeps records, s");
ABSL_FLAG(int, drain_notice_ms, 1000, "from SIGTERM until no request is taken, ms");
ABSL_FLAG(int, drain_bound_s, 70, "longest time from SIGTERM to exit, s");
ABSL_FLAG(bool, log_debug, false, "write debug lines too");

namespace figwinch {
namespace {

std::vector<std::string> peer_addresses() {
    return absl::StrSplit(absl::GetFlag(FLAGS_peers), ',', absl::SkipEmpty());
}

endpoint read_endpoint(const std::string& text) {
    return parse_endpoint(text).value_or(endpoint{});
}

} // namespace

void check_entry_flags(settings_reader& reader) {
    const std::string node = absl::GetFlag(FLAGS_node);
    const std::string centre = absl::GetFlag(FLAGS_data_centre);
    reader.require(is_valid_name(node), "node", node, "1 to 128 visible ASCII characters");
    reader.require(is_valid_name(centre), "data_centre", centre,
                   "1 to 128 visible ASCII characters");
    reader.require_endpoint("http_address", absl::GetFlag(FLAGS_http_address));
    reader.require_endpoint("bus_address", absl::GetFlag(FLAGS_bus_address));
    reader.require_endpoint("log", absl::GetFlag(FLAGS_log));
    for (const std::string& peer : peer_addresses())
        reader.require_endpoint("peers", peer);
    reader.require_range("entries", absl::GetFlag(FLAGS_entries), 1, 1000, "entries");
    const int window = absl::GetFlag(FLAGS_claim_window_s);
    reader.require_range("claim_window_s", window, 2, 3600, "s");
    reader.require_range("claim_use_s", absl::GetFlag(FLAGS_claim_use_s), 1, window / 3, "s");
    reader.require_range("max_claims", absl::GetFlag(FLAGS_max_claims), 100, 10'000'000, "");
    reader.require_range("max_header_bytes", absl::GetFlag(FLAGS_max_header_bytes), 1024, 1 << 20,
                         "bytes");
    reader.require_range("max_body_bytes", absl::GetFlag(FLAGS_max_body_bytes), 1, 64 << 20,
                         "bytes");
    reader.require_range("max_connections", absl::GetFlag(FLAGS_max_connections), 1, 60'000, "");
    reader.require_range("max_waiting", absl::GetFlag(FLAGS_max_waiting), 1, 100'000, "requests");
    reader.require_range("log_retention_s", absl::GetFlag(FLAGS_log_retention_s), 10, 10'000'000,
                         "s");
    reader.require_range("drain_notice_ms", absl::GetFlag(FLAGS_drain_notice_ms), 0, 60'000, "ms");
    reader.require_range("drain_bound_s", absl::GetFlag(FLAGS_drain_bound_s), 1, 600, "s");
}

entry_settings read_entry_flags() {
    using std::chrono::milliseconds;
    using std::chrono::seconds;
    entry_settings with;
    with.node = absl::GetFlag(FLAGS_node);
    with.data_centre = absl::GetFlag(FLAGS_data_centre);
    with.http = read_endpoint(absl::GetFlag(FLAGS_http_address));
    with.bus = read_endpoint(absl::GetFlag(FLAGS_bus_address));
    with.platform = read_endpoint(absl::GetFlag(FLAGS_log));
    with.peers = peer_addresses();
    with.log_retention = seconds(absl::GetFlag(FLAGS_log_retention_s));
    with.drain_notice = milliseconds(absl::GetFlag(FLAGS_drain_notice_ms));
    with.drain_bound = seconds(absl::GetFlag(FLAGS_drain_bound_s));
    with.level = absl::GetFlag(FLAGS_log_debug) ? log_level::debug : log_level::info;

    entry_core_settings& core = with.core;
    core.http.max_header_bytes = static_cast<std::size_t>(absl::GetFlag(FLAGS_max_header_bytes));
    core.http.max_body_bytes = static_cast<std::size_t>(absl::GetFlag(FLAGS_max_body_bytes));
    core.http.max_connections = static_cast<std::size_t>(absl::GetFlag(FLAGS_max_connections));
    core.claims.voters = static_cast<std::size_t>(absl::GetFlag(FLAGS_entries));
    core.claims.window = seconds(absl::GetFlag(FLAGS_claim_window_s));
    core.claims.use_within = seconds(absl::GetFlag(FLAGS_claim_use_s));
    core.claims.max_records = static_cast<std::size_t>(absl::GetFlag(FLAGS_max_claims));
    core.claims.first_sends_alone = absl::GetFlag(FLAGS_first_sends_alone);
    core.requests.queue.max_waiting = static_cast<std::size_t>(absl::GetFlag(FLAGS_max_waiting));
    core.requests.seed = std::random_device{}();
    return with;
}

} // namespace figwinch
