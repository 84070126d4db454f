#pragma once

#include "figwinch/base.h"

namespace figwinch {

/// Keeps requests away from an executor that fails in a row, and lets one trial through now and
/// then. Owned by `executor_pool`.
class circuit_breaker {
public:
    struct settings {
        int failures_to_open = 3;
        duration first_pause = std::chrono::milliseconds(500);
        duration max_pause = std::chrono::seconds(10);
    };

    explicit circuit_breaker(const settings& with) : with_(with) {}

    /// Whether a request may be sent now; while open, only a trial after the pause.
    bool allows(instant now) const;
    /// A request is being sent: when open this is the one trial.
    void note_sent();
    void note_success();
    void note_failure(instant now);
    /// A trial that ended without saying anything of the executor's health.
    void note_neutral();
    bool is_open() const { return pause_ > duration::zero(); }

private:
    settings with_;
    int failures_ = 0;
    duration pause_{};
    instant open_until_{};
    bool trial_ = false;
};

} // namespace figwinch
