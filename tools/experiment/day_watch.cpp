#include "tools/experiment/day_watch.h"

#include <algorithm>
#include <charconv>

namespace figwinch::experiment {

day_watch::live_task& day_watch::find(const std::string& task) {
    const auto [known, added] = tasks_.try_emplace(task);
    if (!added)
        return known->second;
    const auto name = parse_task_name(task);
    const std::string& id = name->job.str();
    live_task& made = known->second;
    std::from_chars(id.data() + 1, id.data() + id.size(), made.job);
    made.step = name->step;
    made.index = name->index;
    return made;
}

const planned_task& day_watch::plan_of(const live_task& task) const {
    return jobs_[task.job].tasks[task.step][task.index];
}

void day_watch::on_start(const std::string& worker, const start_order& order, bool) {
    live_task& task = find(order.task);
    ++task.starts;
    task.workers.push_back(worker);
    ++counts_[jobs_[task.job].of_class].starts;
}

void day_watch::on_end(const std::string& worker, const std::string& task, run_number,
                       run_end how) {
    live_task& ended = find(task);
    if (const auto at = std::ranges::find(ended.workers, worker); at != ended.workers.end())
        ended.workers.erase(at);
    run_counts& counts = counts_[jobs_[ended.job].of_class];
    counts.stops += how == run_end::stopped ? 1 : 0;
    counts.lapses += how == run_end::lease_expired ? 1 : 0;
}

duration day_watch::length_of(const std::string& task) {
    return plan_of(find(task)).length;
}

bool day_watch::fails(const std::string& task) {
    const live_task& started = find(task);
    return started.starts <= plan_of(started).failures;
}

const step_spec& day_watch::step_of(const std::string& task) const {
    const live_task& known = tasks_.at(task);
    return jobs_[known.job].spec.steps[known.step];
}

const std::vector<std::string>& day_watch::workers_of(const std::string& task) const {
    static const std::vector<std::string> nowhere;
    const auto known = tasks_.find(task);
    return known == tasks_.end() ? nowhere : known->second.workers;
}

} // namespace figwinch::experiment
