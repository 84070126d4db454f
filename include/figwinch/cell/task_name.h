#pragma once

#include "figwinch/base.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figwinch {

/// Which task: job, occurrence, step and index in the step, all counted from 0.
struct task_name {
    job_id job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    friend auto operator<=>(const task_name&, const task_name&) = default;
};

/// "5c0e7a21d94b36f8.0.1.17", as workers know the task.
std::string to_string(const task_name& name);
/// Reads what `to_string` wrote. Returns nothing on bad input.
std::optional<task_name> parse_task_name(std::string_view text);

} // namespace figwinch
