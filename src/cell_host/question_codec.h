#pragma once

#include "cell_host/job_source.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace figwinch {

/// What an asker wants to know of a reader.
struct job_question {
    /// How long the asker waits.
    duration patience{};
    /// A job's state, or how many jobs of a queue wait.
    std::variant<job_id, queue_name> about;
};

std::string encode_question(const job_question& question);
/// Nothing on bytes that aren't one.
std::optional<job_question> decode_question(std::string_view bytes);

std::string encode_job_answer(const job_answer& answer);
/// `cant_tell` on bytes that aren't one.
job_answer decode_job_answer(const job_id& id, std::string_view bytes);

std::string encode_waiting_answer(std::optional<std::size_t> waiting);
/// Nothing on bytes that aren't one.
std::optional<std::size_t> decode_waiting_answer(std::string_view bytes);

} // namespace figwinch
