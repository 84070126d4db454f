#include "entry/http_answer.h"

#include "observe/json_line.h"

#include <algorithm>

namespace figwinch {
namespace {

using std::chrono::ceil;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::string_view name_of(ran_state ran) {
    switch (ran) {
    case ran_state::no:
        return "no";
    case ran_state::yes:
        return "yes";
    default:
        return "unknown";
    }
}

std::string refusal_body(const final_answer& answer, duration wait) {
    const result_info& row = info(answer.code);
    std::string body = R"({"code": )" + std::to_string(number(row.code));
    body += R"(, "name": ")" + std::string(row.name);
    body += R"(", "ran": ")" + std::string(name_of(answer.ran_or_default()));
    body += R"(", "retry_after_ms": )" + std::to_string(ceil<milliseconds>(wait).count());
    body += R"(, "reason": )";
    append_json_string(body, answer.reason.empty() ? row.meaning : answer.reason);
    return body + "}";
}

} // namespace

http_response json_response(int status, std::string body) {
    http_response response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

http_response to_http(const final_answer& answer) {
    const result_info& row = info(answer.code);
    if (answer.code == result_code::ok) {
        http_response response;
        response.status = row.http_status;
        if (!answer.content_type.empty())
            response.headers.add("Content-Type", answer.content_type);
        response.body = answer.body;
        return response;
    }
    const std::optional<duration> wait =
        answer.retry_after.has_value() ? answer.retry_after : row.retry_after;
    http_response response =
        json_response(row.http_status, refusal_body(answer, wait.value_or(duration::zero())));
    // Whole seconds are all that the header can say.
    if (wait.has_value())
        response.headers.add("Retry-After",
                             std::to_string(std::max(ceil<seconds>(*wait), seconds(1)).count()));
    return response;
}

} // namespace figwinch
