#pragma once

#include "tests/cell/cell_world.h"

#include <map>
#include <set>
#include <string>

namespace figwinch::sim {

/// Checks the maximum downtime of service tasks: a task must have a run again within `max_downtime`
/// after the end of its last run, the acceptance of its job, or the last fault that excuses it,
/// whichever is latest. This applies if the job is accepted and not cancelled, a worker has free
/// resources for the task, and the task's last worker is reachable. It ends when the job is given
/// up after two workers have restarted under one of its tasks. The loss of any other worker is no
/// excuse. Reports violations to the invariant checker of the cell. Owned by a test.
class service_downtime_rule {
public:
    explicit service_downtime_rule(cell_world& world);

    /// Starts checking a service job that was submitted. It counts as accepted once `told` says
    /// that it is stored.
    void follow(const std::string& job, std::shared_ptr<std::optional<intake_outcome>> told);
    /// Stops checking a job because its cancellation was requested, whether or not that is stored.
    void leave(const std::string& job) { cancelled_.insert(job); }

    static constexpr duration max_downtime = std::chrono::seconds(6);

private:
    struct task_state {
        /// The start of the current downtime. Unset while the task has a run or is excused by a
        /// fault.
        std::optional<instant> down_since;
        /// The worker to which its last start order was sent.
        std::string last_worker;
        /// Resources that would have fitted this task were given to a batch task.
        bool passed_over = false;
    };

    void check_all();
    bool is_followed(const std::string& job) const;
    bool is_given_up(const std::string& job);
    void check_task(const std::string& task, bool trouble, std::optional<std::size_t> acting);
    std::string recorded_worker(const std::string& task);
    bool has_cell_wide_fault(std::optional<std::size_t> acting);
    bool any_host_can_lead();
    bool can_reach(std::optional<std::size_t> acting, const std::string& worker);
    bool has_room(const std::string& task, std::optional<std::size_t> acting);
    bool fits_on(const std::string& worker, const std::string& task) const;

    cell_world& world_;
    std::map<std::string, std::shared_ptr<std::optional<intake_outcome>>> submissions_;
    std::set<std::string> cancelled_;
    std::map<std::string, task_state> tasks_;
};

} // namespace figwinch::sim
