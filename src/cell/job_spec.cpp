#include "figwinch/cell/job_spec.h"

#include <absl/strings/str_cat.h>

namespace figwinch {
namespace {

// Bounds that keep one job from taking the memory of a host. The largest real steps have some
// dozens of tasks.
constexpr std::size_t most_steps = 100;
constexpr std::uint32_t most_tasks = 10'000;
constexpr std::size_t longest_payload = 4'000;
constexpr std::uint32_t most_repeats = 1'000'000;

absl::Status bad(std::size_t step, std::string_view what) {
    return make_error(
        result_code::invalid_value,
        absl::StrCat("step ", step, ": ", absl::string_view(what.data(), what.size())));
}

absl::Status check_step(const step_spec& step, std::size_t number) {
    if (step.tasks == 0 || step.tasks > most_tasks)
        return bad(number, "the number of tasks is not 1 to 10000");
    if (any_negative(step.size))
        return bad(number, "a resource is below 0");
    for (const std::uint32_t earlier : step.after)
        if (earlier >= number)
            return bad(number, "depends on a step that isn't an earlier one");
    return absl::OkStatus();
}

} // namespace

absl::Status check_job(const job_spec& job) {
    if (job.steps.empty() || job.steps.size() > most_steps)
        return make_error(result_code::invalid_value, "a job has 1 to 100 steps");
    if (job.payload.size() > longest_payload)
        return make_error(result_code::invalid_value, "the payload is longer than 4000 bytes");
    if (job.repeats > most_repeats)
        return make_error(result_code::invalid_value, "more than 1000000 repeats");
    if (job.repeats > 0 && job.interval_ms < 0)
        return make_error(result_code::invalid_value, "the interval is below 0 ms");
    for (std::size_t number = 0; number < job.steps.size(); ++number)
        if (absl::Status checked = check_step(job.steps[number], number); !checked.ok())
            return checked;
    return absl::OkStatus();
}

} // namespace figwinch
