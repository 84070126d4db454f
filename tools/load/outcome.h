#pragma once

#include "figwinch/base.h"

#include <optional>
#include <string>

namespace figwinch::load {

/// What became of one request, as its caller sees it.
enum class request_fate {
    answered,
    /// Refused with a result code; `ran` says what the refusal claims.
    refused,
    /// An answer came, and it was not the whole answer to this request.
    wrong_answer,
    /// No answer came; it may have run.
    unknown,
    /// It never left this program.
    not_sent,
};

std::string_view to_string(request_fate fate);

struct request_outcome {
    std::string id;
    std::string customer;
    /// Since the start of the run, when the request was to be sent.
    duration intended{};
    /// How much later it was sent.
    duration late{};
    /// From the intended time to the answer.
    duration latency{};
    request_fate fate = request_fate::unknown;
    /// Of refusals.
    int code = 0;
    std::string code_name;
    std::string ran;
};

/// What became of one job.
struct job_outcome {
    std::string id;
    std::string customer;
    std::string job_class;
    duration submitted{};
    int submissions = 0;
    std::optional<duration> accepted;
    std::optional<duration> ended;
    /// "queued", "running", "finished", "failed", "cancelled", or "refused".
    std::string state;
    int code = 0;
    std::string code_name;
    int tasks_finished = 0;
    int further_attempts = 0;
    std::int64_t work_ms = 0;
};

} // namespace figwinch::load
