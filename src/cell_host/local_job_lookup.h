#pragma once

#include "cell_host/job_lookup.h"

#include <memory>
#include <vector>

namespace figwinch {

/// Looks up jobs in this host's read replica. A job is reported as unknown, and a replica that lags
/// counts waiting jobs, only after the log has been read to its end. Owned by `cell_member`.
class local_job_lookup final : public job_lookup {
public:
    /// `intake`: the follower of the intake stream that fills `state`. All arguments must outlive
    /// this object.
    local_job_lookup(const clock& time, const cell_state& state, keyed_follower& intake)
        : time_(time), state_(state), intake_(intake) {}

    void find(const job_id& id, instant end, job_handler done) override;
    void count_waiting(const queue_name& queue, instant end, waiting_handler done) override;
    void tick() override;
    void cap_deadlines(instant latest) override;

private:
    /// A lookup that waits until the log has been read to its end.
    struct pending_lookup {
        /// Called with whether the replica is current.
        std::function<void(bool)> done;
        instant end{};
        bool completed = false;
    };

    const job_entry* known(const job_id& id) const;
    /// Whether the replica may lack only jobs accepted within the last `max_count_age`.
    bool counts_all() const;
    void sync(instant end, std::function<void(bool)> done);
    static void complete(pending_lookup& asked, bool current);

    const clock& time_;
    const cell_state& state_;
    keyed_follower& intake_;
    std::vector<std::shared_ptr<pending_lookup>> pending_;
};

} // namespace figwinch
