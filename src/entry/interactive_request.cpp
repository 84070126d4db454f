#include "entry/interactive_request.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace figwinch {
namespace {

constexpr std::size_t max_name = 128;
constexpr std::int64_t max_deadline_ms = 60'000;

absl::StatusOr<std::string> read_name(const http_headers& headers, std::string_view header) {
    const auto value = headers.find(header);
    if (!value.has_value())
        return make_error(result_code::missing_field, std::string(header) + " is missing");
    if (!is_valid_name(*value))
        return make_error(result_code::invalid_value,
                          std::string(header) + " must be 1 to 128 visible ASCII characters");
    return std::string(*value);
}

/// `otherwise` when the header is not there.
absl::StatusOr<std::int64_t> read_number(const http_headers& headers, std::string_view header,
                                         std::int64_t high, std::int64_t otherwise) {
    const auto value = headers.find(header);
    if (!value.has_value())
        return otherwise;
    std::int64_t number = 0;
    const char* const end = value->data() + value->size();
    const auto parsed = std::from_chars(value->data(), end, number);
    if (parsed.ec != std::errc{} || parsed.ptr != end || number < 1 || number > high)
        return make_error(result_code::invalid_value,
                          std::string(header) + " must be 1 to " + std::to_string(high));
    return number;
}

absl::StatusOr<bool> read_idempotent(const http_headers& headers) {
    const auto value = headers.find("Figwinch-Idempotent");
    if (!value.has_value() || *value == "false")
        return false;
    if (*value == "true")
        return true;
    return make_error(result_code::invalid_value, "Figwinch-Idempotent must be true or false");
}

send_mark mark_of(std::int64_t attempt) {
    if (attempt == 0)
        return send_mark::unmarked;
    return attempt == 1 ? send_mark::first : send_mark::resend;
}

} // namespace

bool is_valid_name(std::string_view text) {
    const auto visible = [](char c) { return c > ' ' && c <= '~'; };
    return !text.empty() && text.size() <= max_name && std::ranges::all_of(text, visible);
}

absl::StatusOr<interactive_request> read_interactive(const http_request& message,
                                                     const std::string& service,
                                                     const manifest& config, instant now) {
    const auto id = read_name(message.headers, "Figwinch-Request-Id");
    if (!id.ok())
        return id.status();
    const auto customer = read_name(message.headers, "Figwinch-Customer");
    if (!customer.ok())
        return customer.status();
    const auto idempotent = read_idempotent(message.headers);
    if (!idempotent.ok())
        return idempotent.status();
    const auto attempt = read_number(message.headers, "Figwinch-Attempt", INT32_MAX, 0);
    if (!attempt.ok())
        return attempt.status();
    const service_spec* const spec = find(config, service_id(service));
    if (spec == nullptr)
        return make_error(result_code::not_found, "no service of this name is declared");
    const std::int64_t default_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(spec->default_deadline).count();
    const auto left =
        read_number(message.headers, "Figwinch-Deadline-Ms", max_deadline_ms, default_ms);
    if (!left.ok())
        return left.status();

    interactive_request request;
    request.service = spec->name;
    request.id = request_id(*id);
    request.customer = customer_id(*customer);
    request.idempotent = *idempotent;
    request.mark = mark_of(*attempt);
    request.deadline = now + std::chrono::milliseconds(*left);
    request.request_class = spec->request_class;
    if (const customer_spec* const known = find(config, request.customer))
        request.share = known->share;
    request.body = message.body;
    request.content_type = std::string(message.headers.find("Content-Type").value_or(""));
    return request;
}

} // namespace figwinch
