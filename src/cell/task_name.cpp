#include "figwinch/cell/task_name.h"

#include <array>
#include <charconv>

namespace figwinch {

std::string to_string(const task_name& name) {
    std::string text = name.job.str();
    for (const std::uint32_t part : {name.occurrence, name.step, name.index}) {
        text += '.';
        text += std::to_string(part);
    }
    return text;
}

std::optional<task_name> parse_task_name(std::string_view text) {
    const std::size_t dot = text.find('.');
    if (dot == 0 || dot == std::string_view::npos)
        return std::nullopt;
    task_name name{job_id(text.substr(0, dot))};
    const std::array parts = {&name.occurrence, &name.step, &name.index};
    const char* at = text.data() + dot;
    const char* const end = text.data() + text.size();
    for (std::uint32_t* const part : parts) {
        if (at == end || *at != '.')
            return std::nullopt;
        const auto [next, error] = std::from_chars(at + 1, end, *part);
        if (error != std::errc())
            return std::nullopt;
        at = next;
    }
    if (at != end)
        return std::nullopt;
    return name;
}

} // namespace figwinch
