#include "net/evhttp_responder.h"

#include "net/evhttp_message.h"

#include <event2/buffer.h>
#include <event2/http.h>

#include <string>
#include <utility>

namespace figwinch {
namespace {

std::string refusal_body(const result_info& row, std::size_t limit, std::string_view unit) {
    const duration wait = row.retry_after.value_or(duration::zero());
    const auto wait_ms = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    std::string body = R"({"code": )" + std::to_string(number(row.code));
    body += R"(, "name": ")" + std::string(row.name);
    body += R"(", "ran": "no", "retry_after_ms": )" + std::to_string(wait_ms);
    body += R"(, "reason": "the limit is )" + std::to_string(limit) + " ";
    return body + std::string(unit) + R"("})";
}

} // namespace

evhttp_responder::evhttp_responder(std::shared_ptr<server_connection> connection,
                                   std::shared_ptr<bool> stopping)
    : connection_(std::move(connection)), stopping_(std::move(stopping)) {}

evhttp_responder::~evhttp_responder() {
    if (answered_)
        return;
    // Unanswered, the caller would wait until its own timeout and the connection would never be
    // closed.
    http_response response;
    response.status = info(result_code::internal_error).http_status;
    response.headers.add("Content-Type", "application/json");
    response.body = R"({"code": 901, "name": "internal_error", "ran": "unknown", )"
                    R"("retry_after_ms": 0, "reason": "the request was dropped unanswered"})";
    evhttp_responder::respond(std::move(response));
}

bool evhttp_responder::is_open() const {
    return !answered_ && connection_->taken != nullptr;
}

void evhttp_responder::respond(http_response response) {
    if (std::exchange(answered_, true))
        return;
    evhttp_request* const request = std::exchange(connection_->taken, nullptr);
    if (request == nullptr)
        return;
    if (*stopping_)
        response.headers.add("Connection", "close");
    evkeyvalq* const headers = evhttp_request_get_output_headers(request);
    for (const http_header& line : response.headers.all())
        evhttp_add_header(headers, line.name.c_str(), line.value.c_str());
    evbuffer* const body = evhttp_request_get_output_buffer(request);
    evbuffer_add(body, response.body.data(), response.body.size());
    evhttp_send_reply(request, response.status, nullptr, nullptr);
}

void evhttp_responder::refuse(result_code code, std::size_t limit, std::string_view unit) {
    const result_info& row = info(code);
    http_response response;
    response.status = row.http_status;
    response.headers.add("Content-Type", "application/json");
    response.headers.add("Connection", "close");
    response.body = refusal_body(row, limit, unit);
    respond(std::move(response));
}

} // namespace figwinch
