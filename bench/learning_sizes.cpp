// What different rules would commit for tasks whose declared sizes are copied from examples,
// against what the tasks then use at their peak: waste (committed and never used) and overrun (used
// above what was committed), in percent of the processors used; and state and time of the
// estimator.

#include "bench/bench_report.h"
#include "figwinch/learning.h"

#include <cmath>
#include <deque>
#include <functional>
#include <random>

namespace figwinch {
namespace {

constexpr int templates = 40;
constexpr int tasks_per_template = 200;
constexpr int reports_per_task = 6;
/// Tasks that run at once, so that later ones start before earlier ones have shown their peak.
constexpr int running_at_once = 8;

const customer_id customer("studio");

struct sized_task {
    task_id id;
    double peak = 0;
    int reports = 0;
};

/// One template: its tasks' peaks spread around a level that jumps once; the declared size is off
/// by up to ten times in either direction.
class size_source {
public:
    explicit size_source(std::uint64_t seed) : random_(seed) {
        std::uniform_real_distribution<double> exponent(-1, 1);
        level_ = 2000 * std::pow(10.0, exponent(random_) / 2);
        declared_ = level_ * std::pow(10.0, exponent(random_));
    }
    double declared() const { return declared_; }
    void jump(double factor) { level_ *= factor; }
    double next_peak() {
        std::lognormal_distribution<double> spread(0, 0.25);
        return level_ * spread(random_);
    }

private:
    std::mt19937_64 random_;
    double level_ = 0;
    double declared_ = 0;
};

/// Waste and overrun summed over tasks.
struct size_outcome {
    double used = 0;
    double waste = 0;
    double overrun = 0;
    void add(double committed, double peak) {
        used += peak;
        waste += std::max(0.0, committed - peak);
        overrun += std::max(0.0, peak - committed);
    }
};

/// A rule: what to commit, and what a report tells it.
struct size_rule {
    std::string name;
    std::function<double(double declared)> commit;
    std::function<void(const task_id& task, double used)> observe;
};

size_rule declared_rule() {
    return {"declared", [](double declared) { return declared; }, [](const task_id&, double) {}};
}

size_rule estimator_rule(const std::string& name, int margin) {
    auto sizes =
        std::shared_ptr<size_estimator>(size_estimator::create({.margin_percent = margin}));
    const template_id copied_from("render");
    return {name,
            [sizes, copied_from](double declared) {
                const resources size{.cpu_millis = std::llround(declared), .memory_mib = 64};
                return static_cast<double>(
                    sizes->commit_size(customer, copied_from, size).cpu_millis);
            },
            [sizes, copied_from](const task_id& task, double used) {
                sizes->observe(customer, copied_from, task,
                               {.cpu_millis = std::llround(used), .memory_mib = 64});
            }};
}

/// A quantile of the last 64 reports, whatever task they are of, with a margin.
size_rule report_quantile_rule(const std::string& name, double quantile, double margin) {
    auto reports = std::make_shared<std::deque<double>>();
    return {name,
            [=](double declared) {
                if (reports->size() < 30)
                    return declared;
                std::vector<double> sorted(reports->begin(), reports->end());
                std::ranges::sort(sorted);
                const auto rank =
                    static_cast<std::size_t>(quantile * static_cast<double>(sorted.size() - 1));
                return sorted[rank] * (1 + margin);
            },
            [=](const task_id&, double used) {
                reports->push_back(used);
                if (reports->size() > 64)
                    reports->pop_front();
            }};
}

void run_template(const size_rule& rule, std::uint64_t seed, size_outcome& outcome) {
    size_source source(seed);
    std::deque<sized_task> running;
    for (int number = 0; number < tasks_per_template; ++number) {
        if (number == tasks_per_template / 2)
            source.jump(seed % 2 == 0 ? 2.5 : 0.4);
        const double peak = source.next_peak();
        outcome.add(rule.commit(source.declared()), peak);
        running.push_back({task_id("job/" + std::to_string(number)), peak});
        for (sized_task& task : running) {
            // Use ramps up over the first reports of a task.
            const double ramp = std::min(1.0, (task.reports + 1) / 3.0);
            rule.observe(task.id, task.peak * ramp);
            ++task.reports;
        }
        std::erase_if(running, [](const sized_task& t) { return t.reports >= reports_per_task; });
        while (running.size() > running_at_once)
            running.pop_front();
    }
}

void measure(const bench_report& out, const std::function<size_rule()>& make) {
    size_outcome outcome;
    std::string name;
    for (int seed = 1; seed <= templates; ++seed) {
        const size_rule rule = make();
        name = rule.name;
        run_template(rule, static_cast<std::uint64_t>(seed), outcome);
    }
    out.add(name + ".waste", templates, 100 * outcome.waste / outcome.used, "percent");
    out.add(name + ".overrun", templates, 100 * outcome.overrun / outcome.used, "percent");
}

} // namespace
} // namespace figwinch

FIGWINCH_BENCH(learning_sizes) {
    using namespace figwinch;
    measure(out, declared_rule);
    measure(out, [] { return report_quantile_rule("reports_p50_20", 0.5, 0.2); });
    measure(out, [] { return report_quantile_rule("reports_p95_0", 0.95, 0); });
    measure(out, [] { return report_quantile_rule("reports_p95_20", 0.95, 0.2); });
    for (const int margin : {0, 10, 20, 40}) {
        measure(out, [margin] {
            return estimator_rule("window_peak_" + std::to_string(margin), margin);
        });
    }
}

FIGWINCH_BENCH(learning_state) {
    using namespace figwinch;
    for (const int pairs : {1'000, 2'000, 5'000, 10'000, 20'000}) {
        const double before = heap_bytes();
        const auto sizes = size_estimator::create({});
        const auto fill = [&] {
            for (int pair = 0; pair < pairs; ++pair) {
                const template_id copied_from("template-" + std::to_string(pair));
                for (int task = 0; task < 16; ++task)
                    sizes->observe(customer, copied_from,
                                   task_id("job-" + std::to_string(task) + "/0"),
                                   {.cpu_millis = 1000, .memory_mib = 1000});
            }
        };
        fill();
        out.add("heap", pairs, heap_bytes() - before, "bytes");
        out.add("observe", pairs, median_seconds(3, fill) * 1e6, "us");
    }
}

FIGWINCH_BENCH(learning_failures) {
    using namespace figwinch;
    for (const int tasks : {1'000, 5'000, 20'000, 50'000}) {
        const double before = heap_bytes();
        const auto policy = failure_policy::create({});
        const instant now{std::chrono::hours(1)};
        const double seconds = median_seconds(1, [&] {
            for (int task = 0; task < tasks; ++task) {
                const job_id job("job-" + std::to_string(task / 10));
                policy->record_failure(worker_id("worker-" + std::to_string(task % 76)),
                                       task_id(job.str() + "/" + std::to_string(task)),
                                       attempt_number(1), job, now);
                policy->record_success(worker_id("worker-" + std::to_string(task % 76)),
                                       task_id("other/0"), now);
            }
        });
        out.add("heap", tasks, heap_bytes() - before, "bytes");
        out.add("failures", tasks, seconds * 1e6, "us");
    }
}
