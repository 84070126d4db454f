#pragma once

#include "figwinch/base.h"
#include "figwinch/routing/executor_answer.h"

#include <cstdint>
#include <optional>
#include <random>

namespace figwinch {

/// What one request has been through so far.
struct dispatch_history {
    bool idempotent = false;
    int dispatches = 0;
    /// A dispatch ended without proof that it did not run.
    bool may_have_run = false;
};

/// What to do after a dispatch that brought no answer.
struct retry_decision {
    /// Dispatch again after this long, or give up when empty.
    std::optional<duration> again_after;
    /// The final answer when giving up.
    result_code code = result_code::internal_error;
};

/// Decides about second dispatches. Retries are paid from a budget that grows with requests, so
/// that an outage of every executor does not multiply the load on the ones that come back. Owned by
/// an entry.
class retry_policy {
public:
    struct settings {
        /// Budget that each request adds, and what is there at first and at most.
        double tokens_per_request = 0.08;
        double first_tokens = 5;
        double max_tokens = 50;
        int max_dispatches = 4;
        duration backoff = std::chrono::milliseconds(5);
        duration max_backoff = std::chrono::milliseconds(200);
    };

    retry_policy(const settings& with, std::uint64_t seed);

    void note_request();
    /// `history` includes the dispatch that ended with `end`. `left` until the deadline.
    retry_decision decide(const dispatch_history& history, dispatch_end end, duration left);
    double tokens() const { return tokens_; }

private:
    static result_code final_code(const dispatch_history& history, dispatch_end end, bool no_budget,
                                  duration left);
    duration jittered_backoff(int dispatches);

    settings with_;
    std::mt19937_64 random_;
    double tokens_;
};

} // namespace figwinch
