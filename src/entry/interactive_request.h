#pragma once

#include "figwinch/config.h"
#include "figwinch/net.h"
#include "figwinch/routing.h"

#include <absl/status/statusor.h>

#include <string>

namespace figwinch {

/// One interactive request as a caller or another entry sent it.
struct interactive_request {
    service_id service;
    request_id id;
    customer_id customer;
    bool idempotent = false;
    send_mark mark = send_mark::unmarked;
    instant deadline{};
    work_class request_class = work_class::normal;
    int share = 1;
    std::string body;
    std::string content_type;

    claim_key key() const { return claim_key::of(customer, id); }
};

/// Reads a caller's request to `service`. Errors: `missing_field`, `invalid_value`, `not_found`.
absl::StatusOr<interactive_request> read_interactive(const http_request& message,
                                                     const std::string& service,
                                                     const manifest& config, instant now);
/// Whether `text` may name a request, a customer or a job: 1 to 128 visible ASCII characters.
bool is_valid_name(std::string_view text);

} // namespace figwinch
