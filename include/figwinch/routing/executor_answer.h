#pragma once

#include "figwinch/base/ids.h"

#include <string>

namespace figwinch {

/// What an executor's response says of itself, apart from its body.
struct executor_answer {
    int status = 0;
    /// Repeated by the executor; empty when it repeated none.
    request_id request;
    customer_id customer;
    /// The executor states that it refused before running.
    bool not_run = false;
    bool leaving = false;
};

/// How one dispatch ended.
enum class dispatch_end {
    /// The whole answer to this very request.
    answered,
    /// The executor refused before running it.
    refused,
    /// Not a byte was sent.
    not_sent,
    /// The executor ran it and answered with an error.
    failed,
    /// Another request's answer came instead of its own; it may have run.
    crossed,
    /// No whole answer came in time; it may have run.
    unknown,
};

/// Whether the request has run for certain not.
constexpr bool is_proven_not_run(dispatch_end end) {
    return end == dispatch_end::refused || end == dispatch_end::not_sent;
}

/// Judges a whole response by what it repeats. An answer that names another request or customer is
/// never passed on: a middlebox or a confused executor has crossed two answers, and one customer
/// would see another's.
dispatch_end judge(const executor_answer& answer, const request_id& request,
                   const customer_id& customer);

} // namespace figwinch
