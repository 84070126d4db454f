#include "figwinch/cell/job_spec.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace figwinch {
namespace {

// Limits that keep a single job from exhausting a host's memory. The largest steps in practice have
// a few dozen tasks.
constexpr std::size_t max_steps = 100;
constexpr std::uint32_t max_tasks = 10'000;
// A coordinator holds some 500 bytes a task: 40 MB for the largest job, of 260 MB on a small host.
constexpr std::uint32_t max_job_tasks = 80'000;
// Each has a worker of its own in the job's record, which the log limits.
constexpr std::uint32_t max_service_tasks = 4'000;
constexpr std::size_t max_payload_bytes = 4'000;
constexpr std::uint32_t max_repeats = 1'000'000;

absl::Status step_error(std::size_t step, std::string_view what) {
    return make_error(
        result_code::invalid_value,
        absl::StrCat("step ", step, ": ", absl::string_view(what.data(), what.size())));
}

absl::Status validate_step(const step_spec& step, std::size_t number) {
    if (step.tasks == 0 || step.tasks > max_tasks)
        return step_error(number, "the number of tasks must be 1 to 10000");
    if (any_negative(step.size))
        return step_error(number, "a resource request is negative");
    for (const std::uint32_t earlier : step.depends_on)
        if (earlier >= number)
            return step_error(number, "a dependency doesn't refer to an earlier step");
    return absl::OkStatus();
}

} // namespace

absl::Status validate_job(const job_spec& job) {
    if (job.steps.empty() || job.steps.size() > max_steps)
        return make_error(result_code::invalid_value, "the number of steps must be 1 to 100");
    if (job.payload.size() > max_payload_bytes)
        return make_error(result_code::invalid_value, "the payload is longer than 4000 bytes");
    if (job.repeats > max_repeats)
        return make_error(result_code::invalid_value, "the repeat count is greater than 1000000");
    if (job.repeats > 0 && job.interval_ms < 0)
        return make_error(result_code::invalid_value, "the interval between repeats is negative");
    for (std::size_t number = 0; number < job.steps.size(); ++number)
        if (absl::Status checked = validate_step(job.steps[number], number); !checked.ok())
            return checked;
    return absl::OkStatus();
}

/// Occurrences with service tasks never end, so that all of a job's may be open at once.
absl::Status validate_job_size(const job_spec& job) {
    std::uint64_t tasks = 0;
    std::uint64_t service_tasks = 0;
    for (const step_spec& step : job.steps) {
        tasks += step.tasks;
        service_tasks += step.is_service ? step.tasks : 0;
    }
    if (service_tasks > 0) {
        const std::uint64_t occurrences = std::max(1U, job.repeats);
        tasks *= occurrences;
        service_tasks *= occurrences;
    }
    if (tasks > max_job_tasks)
        return make_error(result_code::invalid_value,
                          "the job may have more than 80000 tasks at once");
    if (service_tasks > max_service_tasks)
        return make_error(result_code::invalid_value,
                          "the job may have more than 4000 service tasks at once");
    return absl::OkStatus();
}

} // namespace figwinch
