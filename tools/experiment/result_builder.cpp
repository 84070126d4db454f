#include "tools/experiment/result_builder.h"

#include "tools/experiment/quantile.h"

namespace figwinch::experiment {
namespace {

constexpr double worth_in_time = 1;
constexpr double worth_late = 0.15;

} // namespace

result_builder::result_builder(const load_spec& load) : sums_(load.classes.size() + 1) {
    for (std::size_t of_class = 0; of_class < load.classes.size(); ++of_class)
        sums_[of_class].result.name = load.classes[of_class].name;
    sums_.back().result.name = "all";
}

void result_builder::add_job(const planned_job& job, const day_callers::followed_job& known) {
    const bool lasts = job.spec.steps.front().is_service;
    const bool in_time = known.succeeded && *known.ended <= known.objective;
    const bool late = known.succeeded && !in_time;
    add(job.of_class, [&](sums& to) {
        ++to.result.handed_in;
        to.result.accepted += known.accepted ? 1 : 0;
        to.result.work += job.work;
        if (lasts)
            return;
        to.result.in_time += in_time ? 1 : 0;
        to.result.late += late ? 1 : 0;
        to.result.failed += known.ended && !known.succeeded ? 1 : 0;
        to.result.unfinished += known.accepted && !known.ended ? 1 : 0;
        to.valued += job.work * (in_time ? worth_in_time : late ? worth_late : 0);
        if (known.succeeded)
            to.times_s.push_back(
                std::chrono::duration<double>(*known.ended - *known.handed_in).count());
    });
}

void result_builder::add_class(std::size_t of_class, const run_counts& runs,
                               const served_meter::served_time& time) {
    add(of_class, [&](sums& to) {
        to.result.starts += runs.starts;
        to.result.stops += runs.stops;
        to.result.lapses += runs.lapses;
        to.result.work += time.wanted;
        to.valued += time.served;
        to.lasting.wanted += time.wanted;
        to.lasting.served += time.served;
    });
}

std::vector<class_result> result_builder::finish() {
    constexpr double middle = 0.5;
    constexpr double tail = 0.99;
    std::vector<class_result> results;
    for (sums& of : sums_) {
        class_result& result = results.emplace_back(std::move(of.result));
        if (!of.times_s.empty()) {
            result.p50_s = quantile(of.times_s, middle);
            result.p99_s = quantile(of.times_s, tail);
        }
        if (of.lasting.wanted > 0)
            result.share_served = of.lasting.served / of.lasting.wanted;
        if (result.work > 0)
            result.worth = of.valued / result.work;
    }
    return results;
}

} // namespace figwinch::experiment
