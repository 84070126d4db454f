#pragma once

#include "figwinch/base.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figwinch {

/// Identifies a task by its job, the occurrence, the step, and the index within the step. All
/// numbers start at 0.
struct task_name {
    job_id job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    friend auto operator<=>(const task_name&, const task_name&) = default;
};

/// The task name that is sent to workers, such as "5c0e7a21d94b36f8.0.1.17".
std::string to_string(const task_name& name);
/// Parses the format that `to_string` writes. Returns nothing for malformed input.
std::optional<task_name> parse_task_name(std::string_view text);

} // namespace figwinch
