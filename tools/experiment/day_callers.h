#pragma once

#include "cell_host/cell_member.h"
#include "figwinch/simulation.h"
#include "tools/experiment/day_plan.h"

#include <optional>
#include <vector>

namespace figwinch::experiment {

/// The callers of one day: hand jobs in through a host and ask it how far they are. Owned by
/// `play_day`.
class day_callers {
public:
    /// What a caller knows of its job.
    struct followed_job {
        std::optional<instant> handed_in;
        bool accepted = false;
        std::optional<instant> ended;
        bool succeeded = false;
        /// When its caller wants it.
        instant objective{};
    };

    day_callers(sim::sim_time& time, cell_member& host, const std::vector<planned_job>& jobs)
        : time_(time), host_(host), jobs_(jobs), followed_(jobs.size()) {}

    void begin_day();
    /// Whether no caller waits for an answer or for the end of a job.
    bool is_idle() const { return unanswered_ == 0 && open_.empty(); }
    const std::vector<followed_job>& followed() const { return followed_; }

private:
    void hand_in(std::size_t job);
    void take_answer(std::size_t job, intake_outcome outcome);
    void follow();

    sim::sim_time& time_;
    cell_member& host_;
    const std::vector<planned_job>& jobs_;
    std::vector<followed_job> followed_;
    /// Accepted jobs that end, and haven't.
    std::vector<std::size_t> open_;
    std::size_t unanswered_ = 0;
};

} // namespace figwinch::experiment
