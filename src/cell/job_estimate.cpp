#include "cell/job_estimate.h"

#include <algorithm>

namespace figwinch {
namespace {

// A job that takes longer than this many times its objective is of no use to its caller any more.
constexpr int max_useful_factor = 3;
constexpr int complete_percent = 100;
constexpr std::size_t min_samples = 3;

/// The median run time of the step's finished tasks, or the submitter's estimate while there are
/// too few of them.
duration expected_run_time(const step_state& step) {
    if (step.run_times.size() < min_samples)
        return step.spec->estimate;
    std::vector<duration> times = step.run_times;
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::ranges::nth_element(times, middle);
    return *middle;
}

/// The remaining run time of a step, on the assumption that all of its tasks run in parallel.
duration time_left(const step_state& step, duration expected) {
    if (step.unfinished == 0)
        return duration::zero();
    if (step.assigned < step.unfinished)
        return expected;
    duration longest{};
    for (const task_state& task : step.tasks)
        if (!task.progress.done)
            longest = std::max(longest,
                               expected * (complete_percent - task.run.percent) / complete_percent);
    return longest;
}

double core_seconds_left(const step_state& step, duration expected) {
    const double cores = static_cast<double>(step.spec->size.cpu_millis) / 1000;
    return std::chrono::duration<double>(expected).count() * cores * step.unfinished;
}

} // namespace

job_estimate estimate_job(const job_state& job, instant now) {
    job_estimate result;
    duration critical_path{};
    for (const auto& [number, occurrence] : job.occurrences) {
        std::vector<duration> ends;
        for (const step_state& step : occurrence->steps) {
            const duration expected = expected_run_time(step);
            result.work_left += core_seconds_left(step, expected);
            duration begin{};
            for (const std::uint32_t earlier : step.spec->depends_on)
                begin = std::max(begin, ends[earlier]);
            ends.push_back(begin + time_left(step, expected));
            critical_path = std::max(critical_path, ends.back());
        }
    }
    const instant end = now + critical_path;
    const instant useless_after =
        job.submitted_at + (job.objective_at - job.submitted_at) * max_useful_factor;
    if (end <= job.objective_at) {
        result.prospect_until = job.objective_at - critical_path;
        return result;
    }
    if (end <= useless_after) {
        result.prospect = job_prospect::late;
        result.prospect_until = useless_after - critical_path;
        return result;
    }
    result.prospect = job_prospect::lost;
    return result;
}

service_order service_order_of(const job_state& job) {
    return {job.priority, job.prospect, job.work_left, job.intake_offset, job.id.str()};
}

bool is_served_before(const job_state& one, const job_state& other) {
    return service_order_of(one) < service_order_of(other);
}

} // namespace figwinch
