#pragma once

#include "figwinch/base.h"

#include <optional>
#include <string_view>

namespace figwinch {

/// A job among all customers, `<customer>/<job>`; neither part holds a slash.
using job_key = strong_string<struct job_key_tag>;

job_key make_job_key(std::string_view customer, std::string_view job);
/// Whether a customer or job name may be part of a key: not empty, no slash.
bool is_key_part(std::string_view name);

/// One task of a job.
struct task_name {
    job_key job;
    int index = 0;
};

/// `<customer>/<job>/<index>`, as workers know the task.
task_id make_task_id(const job_key& job, int index);
std::optional<task_name> parse_task_id(std::string_view task);

/// Ids of jobs that the manifest declares begin with this; callers can't choose such ids.
constexpr std::string_view manifest_job_prefix = "manifest:";

bool is_manifest_job_id(std::string_view id);

} // namespace figwinch
