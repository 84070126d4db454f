#pragma once

#include "cell_host/job_source.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace figwinch {

/// A query that a host sends to another host's read replica.
struct job_question {
    /// Timeout of the querying host.
    duration patience{};
    /// The job whose state is queried, or the queue whose waiting jobs are counted.
    std::variant<job_id, queue_name> about;
};

std::string encode_question(const job_question& question);
/// Returns nullopt if the bytes are malformed.
std::optional<job_question> decode_question(std::string_view bytes);

std::string encode_job_answer(const job_answer& answer);
/// Returns `cant_tell` if the bytes are malformed.
job_answer decode_job_answer(const job_id& id, std::string_view bytes);

std::string encode_waiting_answer(std::optional<std::size_t> waiting);
/// Returns nullopt if the bytes are malformed.
std::optional<std::size_t> decode_waiting_answer(std::string_view bytes);

} // namespace figwinch
