#include "tools/experiment/day_plan.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace figwinch::experiment {
namespace {

constexpr std::uint32_t attempts = 3;
constexpr duration shortest = std::chrono::milliseconds(50);

/// Draws the jobs of one class.
class class_planner {
public:
    class_planner(const load_spec& load, std::size_t of_class, std::uint64_t seed)
        : load_(load), class_(load.classes[of_class]), of_class_(of_class),
          random_(source(seed, of_class)) {}

    void plan(std::vector<planned_job>& into) {
        add_jobs(class_.jobs_at_start, duration::zero(), into);
        add_arrivals(into);
        if (class_.burst_jobs <= 0)
            return;
        for (duration at = class_.burst_every; at < load_.day; at += class_.burst_every)
            add_jobs(class_.burst_jobs, at, into);
    }

private:
    static std::mt19937_64 source(std::uint64_t seed, std::uint64_t of_class) {
        std::seed_seq mixed{seed & 0xffffffffU, seed >> 32U, of_class};
        return std::mt19937_64(mixed);
    }
    double normal() { return std::normal_distribution<double>(0, 1)(random_); }
    duration around(duration middle, double spread) {
        const double drawn = static_cast<double>(middle.count()) * std::exp(spread * normal());
        return std::max(shortest, duration(std::llround(drawn)));
    }
    void add_jobs(std::int64_t count, duration at, std::vector<planned_job>& into) {
        const auto scaled = std::llround(static_cast<double>(count) * load_.arrivals_factor);
        for (std::int64_t job = 0; job < scaled; ++job)
            into.push_back(draw_job(at));
    }
    void add_arrivals(std::vector<planned_job>& into) {
        const double rate = class_.arrivals_per_s * load_.arrivals_factor;
        if (rate <= 0)
            return;
        std::exponential_distribution<double> gap_s(rate);
        const double day_s = std::chrono::duration<double>(load_.day).count();
        for (double at_s = gap_s(random_); at_s < day_s; at_s += gap_s(random_))
            into.push_back(draw_job(duration(std::llround(at_s * 1e6))));
    }
    planned_job draw_job(duration at) {
        planned_job job;
        job.of_class = of_class_;
        job.at = at;
        job.spec.queue = queue_name("q");
        job.spec.service = service_id("s");
        job.spec.attempts = attempts;
        job.spec.stretch = class_.stretch;
        job.spec.target = class_.target;
        for (const step_load& step : class_.steps)
            add_step(step, job);
        return job;
    }
    void add_step(const step_load& step, planned_job& job) {
        step_spec& spec = job.spec.steps.emplace_back();
        spec.tasks = static_cast<std::uint32_t>(step.tasks);
        spec.size = {std::llround(step.cores * 1000), step.memory_mib, 0};
        spec.estimate =
            around(std::chrono::duration_cast<duration>(step.length * step.guess_factor),
                   step.guess_spread);
        spec.depends_on = step.after;
        spec.is_service = class_.lasts();
        spec.is_best_effort = class_.kind == task_kind::filling;
        spec.latency_target = class_.tail_target;
        spec.image = class_.name;
        std::vector<planned_task>& tasks = job.tasks.emplace_back();
        for (std::int64_t index = 0; index < step.tasks; ++index) {
            tasks.push_back(draw_task(step));
            if (!class_.lasts())
                job.work += step.cores * std::chrono::duration<double>(tasks.back().length).count();
        }
    }
    planned_task draw_task(const step_load& step) {
        planned_task task;
        task.length = class_.lasts() ? duration(-1) : around(step.length, step.spread);
        // As many draws whatever fails, so that lengths don't hang on it.
        std::uniform_real_distribution<double> share(0, 1);
        bool failing = !class_.lasts();
        for (std::uint32_t run = 0; run < attempts; ++run) {
            failing = share(random_) < load_.failing && failing;
            task.failures += failing ? 1 : 0;
        }
        return task;
    }

    const load_spec& load_;
    const class_load& class_;
    std::size_t of_class_;
    std::mt19937_64 random_;
};

} // namespace

std::vector<planned_job> plan_day(const load_spec& load, std::uint64_t seed) {
    std::vector<planned_job> jobs;
    for (std::size_t of_class = 0; of_class < load.classes.size(); ++of_class)
        class_planner(load, of_class, seed).plan(jobs);
    std::ranges::stable_sort(jobs, {}, &planned_job::at);
    return jobs;
}

} // namespace figwinch::experiment
