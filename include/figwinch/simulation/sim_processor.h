#pragma once

#include "figwinch/base.h"
#include "figwinch/cell/coordinator.h"

#include <algorithm>
#include <chrono>
#include <limits>

namespace figwinch::sim {

/// The processor of a simulated host. Unlimited by default; with a limited share of a core, the
/// work of a tick takes time, and the next tick begins no sooner than it is done.
class sim_processor {
public:
    using cost = std::chrono::nanoseconds;
    /// What a tick costs on a whole core.
    static constexpr cost tick_cost = std::chrono::microseconds(100);
    static constexpr cost start_cost = std::chrono::microseconds(60);
    static constexpr cost job_examined_cost{200};
    static constexpr cost worker_examined_cost{500};

    /// Limits the processor to a share of a core.
    void limit_to(double share) { share_ = share; }
    /// Makes the processor slower by a factor until the given time.
    void slow_down(double factor, instant until) {
        slowness_ = factor;
        slow_until_ = until;
    }

    /// What a coordinator's work between two counts costs on a whole core.
    static cost cost_of(const coordinator_counts& before, const coordinator_counts& after) {
        return start_cost * (after.starts - before.starts) + cost_of_search(before, after);
    }
    /// The part of `cost_of` that isn't the start orders themselves.
    static cost cost_of_search(const coordinator_counts& before, const coordinator_counts& after) {
        return job_examined_cost * (after.jobs_examined - before.jobs_examined) +
               worker_examined_cost * (after.workers_examined - before.workers_examined);
    }
    /// How long this processor takes for work that began now.
    duration time_for(cost work, instant now) const {
        if (share_ == std::numeric_limits<double>::infinity())
            return duration::zero();
        const double factor = now < slow_until_ ? slowness_ : 1;
        return std::chrono::duration_cast<duration>(
            std::chrono::duration<double, cost::period>(work) * factor / share_);
    }

private:
    double share_ = std::numeric_limits<double>::infinity();
    double slowness_ = 1;
    instant slow_until_{};
};

} // namespace figwinch::sim
