#pragma once

#include "tools/experiment/day_callers.h"
#include "tools/experiment/day_watch.h"

#include <vector>

namespace figwinch::experiment {

/// Looks at all lasting tasks again and again: how long they were wanted and how long they served,
/// by class. Owned by `play_day`.
class served_meter {
public:
    /// Core-seconds.
    struct served_time {
        double wanted = 0;
        double served = 0;
    };

    served_meter(const sim::sim_fleet& fleet, const day_watch& watch,
                 const std::vector<planned_job>& jobs, std::size_t classes)
        : fleet_(fleet), watch_(watch), jobs_(jobs), times_(classes) {}

    static constexpr duration period = std::chrono::milliseconds(100);

    /// To be called every `period` of the day.
    void look(const day_callers& callers);
    const served_time& time_of(std::size_t of_class) const { return times_[of_class]; }

private:
    bool serves(const std::string& task, bool has_target) const;

    const sim::sim_fleet& fleet_;
    const day_watch& watch_;
    const std::vector<planned_job>& jobs_;
    std::vector<served_time> times_;
    /// Workers whose serving tasks are over their target now.
    absl::flat_hash_map<std::string, bool> harmed_;
};

} // namespace figwinch::experiment
