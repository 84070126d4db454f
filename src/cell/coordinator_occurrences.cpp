#include "cell/cell_coordinator.h"

#include <algorithm>

namespace figwinch {
namespace {

// Limits on the occurrences of a job that are open at the same time: their tasks are held in memory
// and in one record of the log. Two always may overlap.
constexpr std::uint32_t max_open_occurrences = 256;
constexpr std::uint32_t max_open_tasks = 10'000;
constexpr std::uint32_t min_open_occurrences = 2;

/// Service tasks never end, so that a limit would keep later occurrences from ever starting; such
/// jobs are bounded when they are submitted.
std::uint32_t open_occurrences_limit(const job_spec& spec) {
    if (std::ranges::any_of(spec.steps, &step_spec::is_service))
        return std::max(1U, spec.repeats);
    std::uint32_t tasks = 0;
    for (const step_spec& step : spec.steps)
        tasks += step.tasks;
    return std::clamp(max_open_tasks / std::max(1U, tasks), min_open_occurrences,
                      max_open_occurrences);
}

bool all_done(const occurrence_state& occurrence, const std::vector<std::uint32_t>& steps) {
    return std::ranges::all_of(
        steps, [&](std::uint32_t number) { return occurrence.steps[number].unfinished == 0; });
}

} // namespace

occurrence_state& cell_coordinator::make_occurrence(job_state& job, std::uint32_t number) {
    auto created = std::make_unique<occurrence_state>();
    occurrence_state& occurrence = *created;
    occurrence.number = number;
    occurrence.steps.resize(job.spec->steps.size());
    occurrence.unfinished_steps = static_cast<std::uint32_t>(job.spec->steps.size());
    for (std::uint32_t s = 0; s < occurrence.steps.size(); ++s) {
        step_state& step = occurrence.steps[s];
        step.spec = &job.spec->steps[s];
        step.image = slowdowns_.number_of(step.spec->image);
        step.occurrence = &occurrence;
        step.number = s;
        step.unfinished = step.spec->tasks;
        step.tasks.resize(step.spec->tasks);
        for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
            step.tasks[index].job = &job;
            step.tasks[index].step = &step;
            step.tasks[index].index = index;
            step.tasks[index].down_since = deps_.time.now();
        }
    }
    job.occurrences[number] = std::move(created);
    update_ready(occurrence);
    mark_changed(job);
    return occurrence;
}

void cell_coordinator::make_due_occurrences(job_state& job) {
    if (job.phase != job_phase::open)
        return;
    forget_ended_occurrences(job);
    const std::uint32_t limit = open_occurrences_limit(*job.spec);
    while (job.occurrences_made < job.occurrence_count() &&
           job.occurrences_made - job.occurrences_ended < limit) {
        if (job.spec->repeats > 0) {
            const std::int64_t due =
                job.spec->first_due_ms + std::int64_t{job.occurrences_made} * job.spec->interval_ms;
            if (deps_.time.wall_now().time_since_epoch().count() < due)
                return;
        }
        make_occurrence(job, job.occurrences_made++);
        placement_due_ = true;
    }
}

/// Forgets occurrences that have ended and have no run left; their number is enough.
void cell_coordinator::forget_ended_occurrences(job_state& job) {
    const auto has_run = [](const step_state& step) { return step.assigned > 0; };
    std::erase_if(job.occurrences, [&](const auto& entry) {
        return entry.first < job.occurrences_ended &&
               std::ranges::none_of(entry.second->steps, has_run);
    });
}

void cell_coordinator::update_ready(occurrence_state& occurrence) {
    for (step_state& step : occurrence.steps)
        step.ready = all_done(occurrence, step.spec->depends_on);
}

} // namespace figwinch
