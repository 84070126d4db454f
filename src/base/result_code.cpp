#include "figwinch/base/result_code.h"

#include <absl/strings/cord.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <string>

namespace figwinch {
namespace {

using namespace std::chrono_literals;
using rc = result_code;

constexpr auto no = ran_state::no;
constexpr auto yes = ran_state::yes;
constexpr auto unknown = ran_state::unknown;
constexpr std::nullopt_t never = std::nullopt;

constexpr const char* payload_url = "figwinch/result_code";

constexpr std::array table = {
    result_info{rc::ok, "ok", 200, yes, never, "done"},
    result_info{rc::malformed_request, "malformed_request", 400, no, never,
                "the message can't be parsed"},
    result_info{rc::header_too_large, "header_too_large", 431, no, never,
                "the headers exceed the configured bytes"},
    result_info{rc::body_too_large, "body_too_large", 413, no, never,
                "the body exceeds the configured bytes"},
    result_info{rc::unknown_path, "unknown_path", 404, no, never, "no such path or method"},
    result_info{rc::missing_field, "missing_field", 400, no, never,
                "a required header or field is missing"},
    result_info{rc::invalid_value, "invalid_value", 400, no, never,
                "a header or field is out of its range"},
    result_info{rc::not_authorised, "not_authorised", 403, no, never,
                "the object belongs to another customer"},
    result_info{rc::not_found, "not_found", 404, no, never, "no such object"},
    result_info{rc::deadline_unreachable, "deadline_unreachable", 503, no, 1s,
                "the queue is too long for the request's deadline"},
    result_info{rc::queue_full, "queue_full", 503, no, 1s, "the queue of this class is full"},
    result_info{rc::customer_over_share, "customer_over_share", 429, no, 1s,
                "the customer has used its share while others wait"},
    result_info{rc::no_executor, "no_executor", 503, no, 2s,
                "no executor that may take the request is known to be live"},
    result_info{rc::deadline_passed, "deadline_passed", 504, unknown, never,
                "no answer came before the deadline; the request may have run"},
    result_info{rc::outcome_unknown, "outcome_unknown", 502, unknown, never,
                "whether the request ran can't be known; it is not run again"},
    result_info{rc::executor_refused, "executor_refused", 503, no, 1s,
                "every executor that was asked refused before running the request"},
    result_info{rc::executor_failed, "executor_failed", 502, yes, never,
                "the executor ran the request and answered with an error"},
    result_info{rc::entry_stopping, "entry_stopping", 503, no, 1s,
                "this entry is stopping and takes no new work"},
    result_info{rc::duplicate_in_flight, "duplicate_in_flight", 409, unknown, 1s,
                "the same request id is being answered elsewhere"},
    result_info{rc::retry_budget_spent, "retry_budget_spent", 503, no, 2s,
                "the request did not run and the retry budget is spent"},
    result_info{
        rc::cannot_claim, "cannot_claim", 503, unknown, 2s,
        "peers that may hold this request id can't be asked; nothing was run for this send"},
    result_info{rc::job_fits_no_worker, "job_fits_no_worker", 422, no, never,
                "the job is larger than every worker that may run it"},
    result_info{rc::job_over_quota, "job_over_quota", 429, no, 30s,
                "the customer's quota does not admit the job"},
    result_info{rc::job_not_kept, "job_not_kept", 503, no, 2s,
                "the job could not be written to the log and was not accepted"},
    result_info{rc::job_conflict, "job_conflict", 409, no, never,
                "another job with this id and other contents exists"},
    result_info{rc::job_failed_everywhere, "job_failed_everywhere", 200, yes, never,
                "the job failed as often as it may, on different workers where there were some"},
    result_info{rc::no_scheduler, "no_scheduler", 503, no, 2s,
                "no scheduler of this data centre answers"},
    result_info{rc::job_cancelled, "job_cancelled", 200, unknown, never, "the job was cancelled"},
    result_info{rc::job_too_large, "job_too_large", 413, no, never,
                "the job's record is larger than the platform's log takes"},
    result_info{rc::manifest_malformed, "manifest_malformed", 400, no, never,
                "the manifest is not valid JSON of the schema"},
    result_info{rc::manifest_unknown_field, "manifest_unknown_field", 400, no, never,
                "the manifest has a field that the schema does not know"},
    result_info{rc::manifest_out_of_range, "manifest_out_of_range", 400, no, never,
                "a value of the manifest is out of its range"},
    result_info{rc::manifest_dangling_name, "manifest_dangling_name", 400, no, never,
                "the manifest refers to a name that it does not declare"},
    result_info{rc::manifest_impossible_job, "manifest_impossible_job", 400, no, never,
                "the manifest declares a job that fits no worker"},
    result_info{rc::manifest_stale_base, "manifest_stale_base", 409, no, never,
                "another change was accepted on the same base version"},
    result_info{rc::manifest_duplicate_name, "manifest_duplicate_name", 400, no, never,
                "the manifest declares a name twice"},
    result_info{rc::log_unavailable, "log_unavailable", 503, no, 2s,
                "the platform's log answers that it is unavailable"},
    result_info{rc::log_silent, "log_silent", 503, unknown, 2s,
                "the platform's log does not answer; an append may have taken effect"},
    result_info{rc::log_truncated, "log_truncated", 503, no, never,
                "records before the requested offset are no longer kept"},
    result_info{rc::state_not_recovered, "state_not_recovered", 503, no, 2s,
                "this process has not yet recovered its state"},
    result_info{rc::view_not_fresh, "view_not_fresh", 503, no, 2s,
                "this process can't confirm that its configuration is current"},
    result_info{rc::lease_held_by_other, "lease_held_by_other", 409, no, 1s,
                "another scheduler holds the lease on the worker"},
    result_info{rc::lease_expired, "lease_expired", 409, no, never,
                "the lease on the worker has expired on the worker's clock"},
    result_info{rc::lease_stale_epoch, "lease_stale_epoch", 409, no, never,
                "the command carries an older epoch than the worker's lease"},
    result_info{rc::worker_full, "worker_full", 409, no, 1s, "the worker has no room for the task"},
    result_info{rc::attempt_superseded, "attempt_superseded", 409, no, never,
                "the worker has seen this or a later attempt of the task end"},
    result_info{rc::worker_unreachable, "worker_unreachable", 503, unknown, 1s,
                "the worker does not answer"},
    result_info{rc::start_too_late, "start_too_late", 409, no, never,
                "the start reached the worker too long after it was decided"},
    result_info{rc::peer_unreachable, "peer_unreachable", 503, unknown, 1s,
                "another process of figwinch does not answer"},
    result_info{rc::peer_version, "peer_version", 503, no, never,
                "another process of figwinch speaks another version of the protocol"},
    result_info{rc::setting_invalid, "setting_invalid", 400, no, never,
                "a flag or environment variable is invalid; nothing was started"},
    result_info{rc::internal_error, "internal_error", 500, unknown, never,
                "a fault of the program"},
};

absl::StatusCode canonical_code(const result_info& row) {
    switch (row.http_status) {
    case 400:
        return absl::StatusCode::kInvalidArgument;
    case 403:
        return absl::StatusCode::kPermissionDenied;
    case 404:
        return absl::StatusCode::kNotFound;
    case 409:
        return absl::StatusCode::kAborted;
    case 429:
        return absl::StatusCode::kResourceExhausted;
    case 503:
        return absl::StatusCode::kUnavailable;
    case 504:
        return absl::StatusCode::kDeadlineExceeded;
    default:
        return absl::StatusCode::kUnknown;
    }
}

} // namespace

std::span<const result_info> result_table() {
    return table;
}

const result_info& info(result_code code) {
    const auto row = std::ranges::find(table, code, &result_info::code);
    if (row == table.end())
        return table.back();
    return *row;
}

absl::Status make_error(result_code code, std::string_view reason) {
    const result_info& row = info(code);
    absl::Status status(canonical_code(row), absl::string_view(reason.data(), reason.size()));
    status.SetPayload(payload_url, absl::Cord(std::to_string(number(code))));
    return status;
}

result_code code_of(const absl::Status& status) {
    if (status.ok())
        return result_code::ok;
    const auto payload = status.GetPayload(payload_url);
    if (!payload.has_value())
        return result_code::internal_error;
    const std::string text(*payload);
    int value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return info(static_cast<result_code>(value)).code;
}

} // namespace figwinch
