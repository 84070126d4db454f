#pragma once

#include "cell_host/job_source.h"

#include <functional>

namespace figwinch {

/// Looks up jobs in this host's read replica while that is complete, and otherwise on other hosts.
/// Owned by `cell_member`.
class routed_jobs final : public job_source {
public:
    /// `uses_own`: whether a new lookup goes to `own` rather than to `others`. Both sources must
    /// outlive this object.
    routed_jobs(job_source& own, job_source& others, std::function<bool()> uses_own)
        : own_(own), others_(others), uses_own_(std::move(uses_own)) {}

    void find(const job_id& id, instant end, job_handler done) override {
        chosen().find(id, end, std::move(done));
    }
    void count_waiting(const queue_name& queue, instant end, waiting_handler done) override {
        chosen().count_waiting(queue, end, std::move(done));
    }
    void tick() override {
        own_.tick();
        others_.tick();
    }
    void end_by(instant latest) override {
        own_.end_by(latest);
        others_.end_by(latest);
    }

private:
    job_source& chosen() { return uses_own_() ? own_ : others_; }

    job_source& own_;
    job_source& others_;
    std::function<bool()> uses_own_;
};

} // namespace figwinch
