#pragma once

#include "figwinch/base.h"

#include <optional>
#include <string_view>

namespace figwinch {

/// Key of a job, unique across customers: `<customer>/<job>`. Neither part contains a slash.
using job_key = strong_string<struct job_key_tag>;

job_key make_job_key(std::string_view customer, std::string_view job);
/// Whether a customer name or job id can be part of a job key: not empty and without a slash.
bool is_key_part(std::string_view name);

/// Identifies a task by its job and its index in the job.
struct task_name {
    job_key job;
    int index = 0;
};

/// The task id that workers receive and report: `<customer>/<job>/<index>`.
task_id make_task_id(const job_key& job, int index);
std::optional<task_name> parse_task_id(std::string_view task);

/// Prefix of the ids of jobs that the manifest declares. Jobs submitted through the API can't use
/// it.
constexpr std::string_view manifest_job_prefix = "manifest:";

bool is_manifest_job_id(std::string_view id);

} // namespace figwinch
