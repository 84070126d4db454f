#include "cell_host/job_api.h"

#include "figwinch/cell/record_codec.h"
#include "figwinch/observe.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace figwinch {
namespace {

constexpr duration default_timeout = std::chrono::seconds(3);
// Requests are answered this long before the caller's timeout, so that the response still reaches
// it; at most half of the timeout.
constexpr duration response_margin = std::chrono::milliseconds(300);
constexpr int status_ok = 200;
constexpr int status_gone = 410;
constexpr int status_gateway_timeout = 504;

http_response json_response(int status, std::string body) {
    http_response response;
    response.status = status;
    response.headers.add("Content-Type", "application/json");
    response.body = std::move(body);
    return response;
}

std::string_view without_port(std::string_view host) {
    return host.substr(0, host.find(':'));
}

} // namespace

void job_api::handle(const http_request& request, const responder& answer) {
    if (!deps_.config)
        return refuse(answer, result_code::state_not_recovered, "no configuration loaded yet", "");
    const std::string_view host = request.headers.find("Host").value_or("");
    const queue_config* const queue = deps_.config->match(without_port(host), request.path);
    if (queue == nullptr)
        return refuse(answer, result_code::unknown_path, "no queue matches the host and path", "");
    const std::string rest = request.path.substr(queue->path_prefix.size());
    if (rest.empty() && request.method == http_method::get)
        return show_queue(*queue, request, answer);
    if (!deps_.codec.is_job_id(rest))
        return refuse(answer, result_code::invalid_value, "path does not end in a valid job ID",
                      rest);
    const job_id id(rest);
    switch (request.method) {
    case http_method::post:
        return submit(*queue, id, request, answer);
    case http_method::get:
        return show(id, request, answer);
    case http_method::del:
        return cancel(id, request, answer);
    default:
        return refuse(answer, result_code::malformed_request,
                      "method not allowed, expected POST, GET or DELETE", rest);
    }
}

void job_api::submit(const queue_config& queue, const job_id& id, const http_request& request,
                     const responder& answer) {
    const job_entry* const known = deps_.state.find(id);
    if (known != nullptr && known->spec)
        return answer->respond(json_response(status_ok, "{}"));
    absl::StatusOr<job_spec> job = deps_.codec.decode_submission(request.body);
    if (!job.ok()) {
        const absl::string_view why = job.status().message();
        return refuse(answer, code_of(job.status()), {why.data(), why.size()}, id.str());
    }
    if (const absl::Status size = validate_job_size(*job); !size.ok())
        return refuse(answer, code_of(size), std::string(size.message()), id.str());
    // Fails at once instead of letting the caller wait, because another host may reach the log.
    if (!deps_.log_answers())
        return refuse(answer, result_code::log_unavailable, "log not responding", id.str());
    const instant deadline = deadline_of(request);
    if (deps_.time.now() + deps_.writer.expected_wait() > deadline)
        return refuse(answer, result_code::log_unavailable, "log too slow to store the job in time",
                      id.str());
    job->queue = queue.name;
    job->service = queue.service;
    job->priority = queue.priority;
    job->attempts = queue.max_attempts;
    job->stretch = queue.stretch;
    job->target = queue.latency_target;
    job->accepted_at = deps_.time.wall_now();
    std::vector<stored_record> records;
    records.push_back({record_key(record_kind::job, id.str()), encode_job(*job), 0});
    deps_.writer.write(
        std::move(records), deadline,
        [this, id, answer, begun = deps_.time.now()](intake_outcome outcome, std::uint64_t) {
            answer_submission(id, answer, outcome, begun);
        });
}

void job_api::answer_submission(const job_id& id, const responder& answer, intake_outcome outcome,
                                instant begun) {
    switch (outcome) {
    case intake_outcome::not_stored:
        return refuse(answer, result_code::log_unavailable, "not stored", id.str());
    case intake_outcome::rejected:
        return refuse(answer, result_code::job_too_large,
                      absl::StrCat("the job's record exceeds the log's limit of ",
                                   deps_.writer.limits().max_record_bytes(), " bytes"),
                      id.str());
    case intake_outcome::unknown:
        // A refusal would promise that the job never runs, but its record may be in the log or may
        // still be appended.
        ++counts_.unknown;
        log_event(log_level::warn, "job_in_doubt", {{"job", id.str()}});
        return answer->respond(json_response(status_gateway_timeout, "{}"));
    case intake_outcome::stored:
        ++counts_.accepted;
        deps_.accepted(deps_.time.now() - begun);
        log_event(log_level::info, "job_accepted", {{"job", id.str()}});
        return answer->respond(json_response(status_ok, "{}"));
    }
}

void job_api::find(const job_id& id, const http_request& request, const responder& answer,
                   std::function<void(const job_entry&)> found) {
    deps_.jobs.find(id, deadline_of(request),
                    [this, id, answer, found = std::move(found)](const job_answer& result) {
                        if (result.outcome == job_answer::kind::found)
                            return found(result.job);
                        if (result.outcome == job_answer::kind::undetermined)
                            return refuse(answer, result_code::log_unavailable,
                                          "no up-to-date replica answered in time", id.str());
                        log_event(log_level::info, "job_unknown", {{"job", id.str()}});
                        answer->respond(json_response(status_gone, "{}"));
                    });
}

void job_api::show(const job_id& id, const http_request& request, const responder& answer) {
    ++counts_.queries;
    find(id, request, answer, [this, answer](const job_entry& job) {
        answer->respond(json_response(status_ok, deps_.codec.encode_state(job)));
    });
}

void job_api::cancel(const job_id& id, const http_request& request, const responder& answer) {
    const instant deadline = deadline_of(request);
    find(id, request, answer, [this, id, deadline, answer](const job_entry& job) {
        if (job.cancel_wanted || job.phase != job_phase::open)
            return answer->respond(json_response(status_ok, "{}"));
        write_cancellation(id, deadline, answer);
    });
}

void job_api::write_cancellation(const job_id& id, instant deadline, const responder& answer) {
    std::vector<stored_record> records;
    records.push_back({record_key(record_kind::cancellation, id.str()), "1", 0});
    deps_.writer.write(std::move(records), deadline,
                       [this, id, answer](auto outcome, std::uint64_t) {
                           if (outcome != intake_outcome::stored)
                               return refuse(answer, result_code::log_unavailable,
                                             "cancellation not stored in the log", id.str());
                           ++counts_.cancelled;
                           log_event(log_level::info, "job_cancelled", {{"job", id.str()}});
                           answer->respond(json_response(status_ok, "{}"));
                       });
}

void job_api::show_queue(const queue_config& queue, const http_request& request,
                         const responder& answer) {
    ++counts_.queries;
    deps_.jobs.count_waiting(
        queue.name, deadline_of(request), [this, answer](std::optional<std::size_t> waiting) {
            if (!waiting)
                return refuse(answer, result_code::log_unavailable,
                              "no up-to-date replica answered in time", "");
            answer->respond(json_response(status_ok, deps_.codec.encode_waiting(*waiting)));
        });
}

void job_api::refuse(const responder& answer, result_code code, std::string_view why,
                     const std::string& job) {
    const result_info& row = info(code);
    ++counts_.refused;
    log_event(log_level::info, "request_refused",
              {{"code", std::int64_t{number(code)}}, {"why", std::string(why)}, {"job", job}});
    const absl::string_view reason(why.data(), why.size());
    http_response response = json_response(
        row.http_status, absl::StrCat(R"({"code":)", number(code), R"(,"error":")", reason, "\"}"));
    if (row.retry_after)
        response.headers.add("Retry-After", std::to_string(retry_after(row, job).count()));
    answer->respond(std::move(response));
}

/// The value of the Retry-After header: the time that a slow log needs for the entries waiting
/// here, plus up to as much again by a hash of the job, so that callers refused together don't
/// retry together.
std::chrono::seconds job_api::retry_after(const result_info& row, const std::string& job) const {
    using std::chrono::seconds;
    const auto least = std::chrono::ceil<seconds>(*row.retry_after);
    const auto queue = std::chrono::ceil<seconds>(deps_.writer.expected_wait());
    if (queue == seconds::zero())
        return least;
    const auto spread = stable_hash(job) % static_cast<std::uint64_t>(queue.count() + 1);
    return std::max(least, queue + seconds(spread));
}

instant job_api::deadline_of(const http_request& request) const {
    const duration timeout = deps_.codec.caller_timeout(request).value_or(default_timeout);
    const instant end = deps_.time.now() + timeout - std::min(response_margin, timeout / 2);
    return std::min(end, latest_deadline_);
}

void job_api::cap_deadlines(instant latest) {
    latest_deadline_ = latest;
    deps_.jobs.cap_deadlines(latest);
    deps_.writer.cap_deadlines(latest);
}

} // namespace figwinch
