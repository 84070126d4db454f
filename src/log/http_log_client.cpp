#include "log/http_log_client.h"

#include "figwinch/base/result_code.h"
#include "figwinch/log/log_truncation.h"
#include "log/log_page_codec.h"
#include "platform.pb.h"

#include <google/protobuf/util/json_util.h>

namespace figwinch {
namespace {

// What a byte takes on the narrowest link that a host may have, 1 Mbit/s.
constexpr duration byte_time = std::chrono::microseconds(8);
constexpr int http_ok = 200;
constexpr int http_gone = 410;
constexpr int http_unavailable = 503;

/// What a call that brought neither 200 nor 410 proves. Only the log's own 503 says that nothing
/// was appended and that nobody's change can have been accepted; a refused connection may be a cut
/// link, and any other status may come from something between.
absl::Status error_of(const call_result& result) {
    if (result.outcome != call_outcome::answered)
        return make_error(result_code::log_silent, "no answer of the log: " + result.reason);
    if (result.response.status == http_unavailable)
        return make_error(result_code::log_unavailable, "the log answers 503");
    return make_error(result_code::log_silent, "unexpected answer of the log: status " +
                                                   std::to_string(result.response.status));
}

bool has_status(const call_result& result, int status) {
    return result.outcome == call_outcome::answered && result.response.status == status;
}

absl::StatusOr<log_offset> offset_of(const call_result& result) {
    if (!has_status(result, http_ok))
        return error_of(result);
    pb::LogAppended body;
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    const auto parsed =
        google::protobuf::util::JsonStringToMessage(result.response.body, &body, options);
    if (!parsed.ok() || body.offset() == 0)
        return make_error(result_code::log_silent, "the log's answer names no offset");
    return log_offset(body.offset());
}

absl::StatusOr<log_page> page_of(const call_result& result) {
    if (has_status(result, http_gone)) {
        absl::StatusOr<log_page> page = decode_log_page(result.response.body);
        if (!page.ok())
            return page;
        return log_truncated_error(page->first_kept);
    }
    if (!has_status(result, http_ok))
        return error_of(result);
    return decode_log_page(result.response.body);
}

} // namespace

http_log_client::http_log_client(http_client& http, node_id self, duration timeout)
    : http_(http), self_(std::move(self)), timeout_(timeout) {}

http_request http_log_client::request(http_method method, const stream_name& stream) const {
    http_request result;
    result.method = method;
    result.path = "/v1/log/" + stream.str() + "/records";
    result.headers.add(node_header, self_.str());
    return result;
}

void http_log_client::append(const stream_name& stream, std::string payload, append_callback done) {
    http_request call = request(http_method::post, stream);
    call.headers.add("Content-Type", "application/octet-stream");
    // Nothing is heard before all of it is sent.
    const duration bound = timeout_ + byte_time * payload.size();
    call.body = std::move(payload);
    http_.call(std::move(call), {bound, bound},
               [done = std::move(done)](const call_result& result) { done(offset_of(result)); });
}

void http_log_client::read(const stream_name& stream, log_offset from, std::size_t max_records,
                           read_callback done) {
    http_request call = request(http_method::get, stream);
    call.query = "from=" + std::to_string(from.value()) + "&max=" + std::to_string(max_records);
    http_.call(std::move(call), {timeout_, timeout_ + longest_log_answer},
               [done = std::move(done)](const call_result& result) { done(page_of(result)); });
}

} // namespace figwinch
