#pragma once

#include "cell_host/job_lookup.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace figwinch {

/// A query that a host sends to another host's read replica.
struct job_query {
    /// Timeout of the querying host.
    duration timeout{};
    /// The job whose state is queried, or the queue whose waiting jobs are counted.
    std::variant<job_id, queue_name> about;
};

std::string encode_job_query(const job_query& question);
/// Returns nullopt if the bytes are malformed.
std::optional<job_query> decode_job_query(std::string_view bytes);

std::string encode_job_answer(const job_answer& answer);
/// Returns `undetermined` if the bytes are malformed.
job_answer decode_job_answer(const job_id& id, std::string_view bytes);

std::string encode_waiting_answer(std::optional<std::size_t> waiting);
/// Returns nullopt if the bytes are malformed.
std::optional<std::size_t> decode_waiting_answer(std::string_view bytes);

} // namespace figwinch
