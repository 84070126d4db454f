#include "figwinch/jobs/job_key.h"

#include <charconv>

namespace figwinch {

job_key make_job_key(std::string_view customer, std::string_view job) {
    std::string text(customer);
    text += '/';
    text += job;
    return job_key(std::move(text));
}

bool is_key_part(std::string_view name) {
    return !name.empty() && name.find('/') == std::string_view::npos;
}

task_id make_task_id(const job_key& job, int index) {
    return task_id(job.str() + '/' + std::to_string(index));
}

std::optional<task_name> parse_task_id(std::string_view task) {
    const std::size_t slash = task.rfind('/');
    if (slash == std::string_view::npos)
        return std::nullopt;
    const std::string_view digits = task.substr(slash + 1);
    int index = -1;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), index);
    if (error != std::errc{} || end != digits.data() + digits.size() || index < 0)
        return std::nullopt;
    return task_name{job_key(task.substr(0, slash)), index};
}

bool is_manifest_job_id(std::string_view id) {
    return id.starts_with(manifest_job_prefix);
}

} // namespace figwinch
