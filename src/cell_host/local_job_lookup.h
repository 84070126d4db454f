#pragma once

#include "cell_host/job_lookup.h"

#include <memory>
#include <vector>

namespace figwinch {

/// Looks up jobs in this host's read replica. A job is reported as unknown only after the log has
/// been read to its end. Owned by `cell_member`.
class local_job_lookup final : public job_lookup {
public:
    /// `sync`: reads the intake stream to its current end, then calls back with whether that
    /// succeeded. `time` and `state` must outlive this object.
    local_job_lookup(const clock& time, const cell_state& state,
                     std::function<void(std::function<void(bool)>)> sync)
        : time_(time), state_(state), sync_(std::move(sync)) {}

    void find(const job_id& id, instant end, job_handler done) override;
    void count_waiting(const queue_name& queue, instant end, waiting_handler done) override;
    void tick() override;
    void cap_deadlines(instant latest) override;

private:
    /// A lookup of a job that the replica doesn't have, until the log has been read to its end.
    struct pending_lookup {
        job_id id;
        job_handler done;
        instant end{};
        bool completed = false;
    };

    const job_entry* known(const job_id& id) const;
    void complete(pending_lookup& asked, bool current) const;

    const clock& time_;
    const cell_state& state_;
    std::function<void(std::function<void(bool)>)> sync_;
    std::vector<std::shared_ptr<pending_lookup>> pending_;
};

} // namespace figwinch
