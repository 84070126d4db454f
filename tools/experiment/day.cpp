#include "tools/experiment/day.h"

#include "tools/experiment/day_callers.h"
#include "tools/experiment/day_cell.h"
#include "tools/experiment/day_watch.h"
#include "tools/experiment/result_builder.h"
#include "tools/experiment/served_meter.h"

namespace figwinch::experiment {
namespace {

// The host is elected and hears all workers.
constexpr duration warm_up = std::chrono::seconds(3);
constexpr duration settle_step = std::chrono::seconds(1);

} // namespace

day_result play_day(const setup& with, std::uint64_t seed) {
    const load_spec& load = with.load;
    const std::vector<planned_job> jobs = plan_day(load, seed);
    sim::sim_time time;
    day_watch watch(jobs, load.classes.size());
    day_cell cell(with, seed, time, watch);
    day_callers callers(time, cell.member(), jobs);
    served_meter meter(cell.fleet(), watch, jobs, load.classes.size());

    time.run_for(warm_up);
    cell.begin_day();
    callers.begin_day();
    for (duration at{}; at < load.day; at += served_meter::period) {
        time.run_for(served_meter::period);
        meter.look(callers);
    }
    for (duration at{}; at < load.settle && !callers.is_idle(); at += settle_step)
        time.run_for(settle_step);

    result_builder built(load);
    for (std::size_t job = 0; job < jobs.size(); ++job)
        built.add_job(jobs[job], callers.followed()[job]);
    for (std::size_t of_class = 0; of_class < load.classes.size(); ++of_class)
        built.add_class(of_class, watch.counts_of(of_class), meter.time_of(of_class));
    return {with.name, seed, built.finish()};
}

} // namespace figwinch::experiment
