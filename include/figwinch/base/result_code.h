#pragma once

#include "figwinch/base/clock.h"

#include <absl/status/status.h>

#include <optional>
#include <span>
#include <string_view>

namespace figwinch {

/// Numbered outcomes that callers, operators and logs see. Numbers never change meaning;
/// docs/ERRORS.md is the table for people and a test holds it to this one.
enum class result_code : int {
    ok = 0,
    // 1xx: the message itself
    malformed_request = 100,
    header_too_large = 101,
    body_too_large = 102,
    unknown_path = 103,
    missing_field = 104,
    invalid_value = 105,
    not_authorised = 106,
    not_found = 107,
    // 2xx: interactive requests
    deadline_unreachable = 200,
    queue_full = 201,
    customer_over_share = 202,
    no_executor = 203,
    deadline_passed = 204,
    outcome_unknown = 205,
    executor_refused = 206,
    executor_failed = 207,
    entry_stopping = 208,
    duplicate_in_flight = 209,
    retry_budget_spent = 210,
    cannot_claim = 211,
    // 3xx: jobs
    job_fits_no_worker = 300,
    job_over_quota = 301,
    job_not_kept = 302,
    job_conflict = 303,
    job_failed_everywhere = 304,
    no_scheduler = 305,
    job_cancelled = 306,
    job_too_large = 307,
    // 4xx: configuration
    manifest_malformed = 400,
    manifest_unknown_field = 401,
    manifest_out_of_range = 402,
    manifest_dangling_name = 403,
    manifest_impossible_job = 404,
    manifest_stale_base = 405,
    manifest_duplicate_name = 406,
    // 5xx: the platform and our own state
    log_unavailable = 500,
    log_silent = 501,
    log_truncated = 502,
    state_not_recovered = 503,
    view_not_fresh = 504,
    // 6xx: workers
    lease_held_by_other = 600,
    lease_expired = 601,
    lease_stale_epoch = 602,
    worker_full = 603,
    attempt_superseded = 604,
    worker_unreachable = 605,
    start_too_late = 606,
    // 7xx: between our own processes
    peer_unreachable = 700,
    peer_version = 701,
    // 9xx: settings and internal faults
    setting_invalid = 900,
    internal_error = 901,
};

/// Whether the request or task behind a result ran.
enum class ran_state { no, yes, unknown };

/// One row of the table of result codes.
struct result_info {
    result_code code = result_code::ok;
    std::string_view name;
    int http_status = 200;
    ran_state ran = ran_state::no;
    /// How long a caller should wait before it tries again; empty when trying again can't help.
    std::optional<duration> retry_after;
    std::string_view meaning;
};

/// All rows, in order of their numbers.
std::span<const result_info> result_table();
/// The row of one code.
const result_info& info(result_code code);
/// The number as it appears in messages and logs.
constexpr int number(result_code code) {
    return static_cast<int>(code);
}

/// An error that carries its result code; `reason` names path, value and limit where it has them.
absl::Status make_error(result_code code, std::string_view reason);
/// The code that `make_error` put into a status; `internal_error` for foreign errors.
result_code code_of(const absl::Status& status);

} // namespace figwinch
