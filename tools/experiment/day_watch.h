#pragma once

#include "tools/experiment/day_plan.h"

#include "figwinch/simulation.h"

#include <absl/container/flat_hash_map.h>

#include <string>
#include <vector>

namespace figwinch::experiment {

/// What happened to runs of a class.
struct run_counts {
    std::int64_t starts = 0;
    std::int64_t stops = 0;
    std::int64_t lapses = 0;
};

/// Tells the workers of a day what each task is, and counts runs. Owned by the day.
class day_watch final : public sim::worker_watch {
public:
    day_watch(const std::vector<planned_job>& jobs, std::size_t classes)
        : jobs_(jobs), counts_(classes) {}

    static std::string id_of(std::size_t job) { return "j" + std::to_string(job); }

    void on_start(const std::string& worker, const start_order& order, bool late) override;
    void on_end(const std::string& worker, const std::string& task, run_number run,
                run_end how) override;
    void on_noted(const std::string&, const ended_run&) override {}
    duration length_of(const std::string& task) override;
    bool fails(const std::string& task) override;
    const step_spec& step_of(const std::string& task) const override;

    const run_counts& counts_of(std::size_t of_class) const { return counts_[of_class]; }
    /// The workers that run a task; as a rule one or none.
    const std::vector<std::string>& workers_of(const std::string& task) const;

private:
    struct live_task {
        std::size_t job = 0;
        std::uint32_t step = 0;
        std::uint32_t index = 0;
        std::uint32_t starts = 0;
        std::vector<std::string> workers;
    };

    live_task& find(const std::string& task);
    const planned_task& plan_of(const live_task& task) const;

    const std::vector<planned_job>& jobs_;
    std::vector<run_counts> counts_;
    /// Tasks that have ever started.
    absl::flat_hash_map<std::string, live_task> tasks_;
};

} // namespace figwinch::experiment
