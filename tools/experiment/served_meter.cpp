#include "tools/experiment/served_meter.h"

#include <algorithm>

namespace figwinch::experiment {

void served_meter::look(const day_callers& callers) {
    constexpr double period_s = std::chrono::duration<double>(period).count();
    for (const auto& [name, entry] : fleet_.workers)
        harmed_[name] = entry.worker->harms();
    for (std::size_t number = 0; number < jobs_.size(); ++number) {
        const planned_job& job = jobs_[number];
        if (!job.spec.steps.front().is_service || !callers.followed()[number].handed_in)
            continue;
        for (std::uint32_t step = 0; step < job.spec.steps.size(); ++step) {
            const step_spec& spec = job.spec.steps[step];
            const double cost = period_s * static_cast<double>(spec.size.cpu_millis) / 1000;
            for (std::uint32_t index = 0; index < spec.tasks; ++index) {
                const std::string task =
                    to_string(task_name{job_id(day_watch::id_of(number)), 0, step, index});
                served_time& time = times_[job.of_class];
                time.wanted += cost;
                time.served += serves(task, spec.latency_target > duration::zero()) ? cost : 0;
            }
        }
    }
}

bool served_meter::serves(const std::string& task, bool has_target) const {
    return std::ranges::any_of(watch_.workers_of(task), [&](const std::string& worker) {
        return !has_target || !harmed_.at(worker);
    });
}

} // namespace figwinch::experiment
