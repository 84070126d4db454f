#include "cell/job_outlook.h"

#include <algorithm>
#include <tuple>

namespace figwinch {
namespace {

// After so many times its objective a job is of no use to its callers.
constexpr int useful_objectives = 3;
constexpr int whole = 100;
constexpr std::size_t least_samples = 3;

/// The middle of what its own tasks took, or the submitter's guess.
duration expected_time(const step_state& step) {
    if (step.run_times.size() < least_samples)
        return step.spec->estimate;
    std::vector<duration> times = step.run_times;
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::ranges::nth_element(times, middle);
    return *middle;
}

/// What the tasks of a step still take when all of them have a worker at once.
duration time_left(const step_state& step, duration expected) {
    if (step.unfinished == 0)
        return duration::zero();
    if (step.assigned < step.unfinished)
        return expected;
    duration longest{};
    for (const task_state& task : step.tasks)
        if (!task.progress.done)
            longest = std::max(longest, expected * (whole - task.run.percent) / whole);
    return longest;
}

double core_seconds_left(const step_state& step, duration expected) {
    const double cores = static_cast<double>(step.spec->size.cpu_millis) / 1000;
    return std::chrono::duration<double>(expected).count() * cores * step.unfinished;
}

} // namespace

job_outlook outlook_of(const job_state& job, instant now) {
    job_outlook outlook;
    duration chain{};
    for (const auto& [number, occurrence] : job.occurrences) {
        std::vector<duration> ends;
        for (const step_state& step : occurrence->steps) {
            const duration expected = expected_time(step);
            outlook.work_left += core_seconds_left(step, expected);
            duration begin{};
            for (const std::uint32_t earlier : step.spec->after)
                begin = std::max(begin, ends[earlier]);
            ends.push_back(begin + time_left(step, expected));
            chain = std::max(chain, ends.back());
        }
    }
    const instant end = now + chain;
    const instant useless =
        job.submitted_at + (job.objective_at - job.submitted_at) * useful_objectives;
    outlook.prospect = end <= job.objective_at ? job_prospect::in_time
                       : end <= useless        ? job_prospect::late
                                               : job_prospect::lost;
    return outlook;
}

bool is_served_before(const job_state& one, const job_state& other) {
    const auto key = [](const job_state& job) {
        return std::tuple(job.priority, job.prospect, job.work_left, job.intake_offset);
    };
    return key(one) < key(other);
}

} // namespace figwinch
