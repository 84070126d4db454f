#pragma once

#include "tools/experiment/day_result.h"
#include "tools/experiment/served_meter.h"

namespace figwinch::experiment {

/// Sums a day up, by class and for all of them. Owned by `play_day`.
class result_builder {
public:
    explicit result_builder(const load_spec& load);

    void add_job(const planned_job& job, const day_callers::followed_job& known);
    void add_class(std::size_t of_class, const run_counts& runs,
                   const served_meter::served_time& time);
    /// The classes, then all.
    std::vector<class_result> finish();

private:
    struct sums {
        class_result result;
        std::vector<double> times_s;
        double valued = 0;
        served_meter::served_time lasting;
    };

    template <class Add>
    void add(std::size_t of_class, const Add& add) {
        add(sums_[of_class]);
        add(sums_.back());
    }

    /// The last one is of all classes.
    std::vector<sums> sums_;
};

} // namespace figwinch::experiment
