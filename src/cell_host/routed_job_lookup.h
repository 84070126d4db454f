#pragma once

#include "cell_host/job_lookup.h"

#include <functional>

namespace figwinch {

/// Looks up jobs in this host's read replica while that is complete, and otherwise on other hosts.
/// Owned by `cell_member`.
class routed_job_lookup final : public job_lookup {
public:
    /// `uses_local`: whether a new lookup goes to `local` rather than to `peers`. Both sources must
    /// outlive this object.
    routed_job_lookup(job_lookup& local, job_lookup& peers, std::function<bool()> uses_local)
        : local_(local), peers_(peers), uses_local_(std::move(uses_local)) {}

    void find(const job_id& id, instant end, job_handler done) override {
        chosen().find(id, end, std::move(done));
    }
    void count_waiting(const queue_name& queue, instant end, waiting_handler done) override {
        chosen().count_waiting(queue, end, std::move(done));
    }
    void tick() override {
        local_.tick();
        peers_.tick();
    }
    void cap_deadlines(instant latest) override {
        local_.cap_deadlines(latest);
        peers_.cap_deadlines(latest);
    }

private:
    job_lookup& chosen() { return uses_local_() ? local_ : peers_; }

    job_lookup& local_;
    job_lookup& peers_;
    std::function<bool()> uses_local_;
};

} // namespace figwinch
