#include "log/http_host_list_client.h"

#include "figwinch/base/result_code.h"
#include "figwinch/log/log_client.h"
#include "log/http_log_client.h"
#include "platform.pb.h"

#include <google/protobuf/util/json_util.h>

#include <optional>

namespace figwinch {
namespace {

constexpr int http_ok = 200;

std::optional<host_kind> parse_kind(const std::string& text) {
    if (text == "executor")
        return host_kind::executor;
    if (text == "worker")
        return host_kind::worker;
    if (text == "entry")
        return host_kind::entry;
    return std::nullopt;
}

absl::Status no_list(const std::string& reason) {
    return make_error(result_code::peer_unreachable, "no host list: " + reason);
}

absl::StatusOr<std::vector<host_entry>> hosts_of(const call_result& result) {
    if (result.outcome != call_outcome::answered)
        return no_list(result.reason);
    if (result.response.status != http_ok)
        return no_list("status " + std::to_string(result.response.status));
    pb::HostList body;
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    const auto parsed =
        google::protobuf::util::JsonStringToMessage(result.response.body, &body, options);
    if (!parsed.ok())
        return no_list("not JSON of the expected form");
    std::vector<host_entry> hosts;
    for (const pb::HostEntry& entry : body.hosts()) {
        const std::optional<host_kind> kind = parse_kind(entry.kind());
        // Kinds that this version does not know are no concern of ours.
        if (!kind.has_value() || entry.name().empty())
            continue;
        hosts.push_back({entry.name(), entry.address(), data_centre_id(entry.data_centre()), *kind,
                         entry.state() == "leaving"});
    }
    return hosts;
}

} // namespace

http_host_list_client::http_host_list_client(http_client& http, node_id self, duration timeout)
    : http_(http), self_(std::move(self)), timeout_(timeout) {}

void http_host_list_client::fetch(callback done) {
    http_request call;
    call.path = "/v1/hosts";
    call.headers.add(node_header, self_.str());
    http_.call(std::move(call), {timeout_, timeout_ + longest_log_answer},
               [done = std::move(done)](const call_result& result) { done(hosts_of(result)); });
}

} // namespace figwinch
