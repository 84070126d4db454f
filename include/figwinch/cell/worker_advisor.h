#pragma once

#include "figwinch/base.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace figwinch {

/// The response times of a queue's advisor and the default validity of its answers, as configured.
struct advisor_settings {
    /// The time that the advisor needs for one call, plus `time_per_worker` for every worker named
    /// in the call.
    duration time_per_call{};
    duration time_per_worker{};
    /// For how long the tickets of an answer are valid, counted from the answer.
    duration ticket_validity{};
};

/// An advisor's answer to a call about a set of workers: `allowed` lists those that may run the
/// step. The other workers of the call may not run it, and this verdict is final.
struct worker_advice {
    struct permit {
        worker_id worker;
        /// The authorisation that every start order of the step to this worker must carry.
        std::string ticket;
    };
    std::vector<permit> allowed;
    /// The validity stated in the answer. If absent, `advisor_settings::ticket_validity` applies.
    std::optional<duration> ticket_validity;
};

/// Client interface of the advisor, the external service that decides which workers may run a step
/// of a queue with a restricted placement policy. Serves one call at a time. Invokes each handler
/// exactly once, with nothing if the advisor didn't answer or too many calls were pending.
/// Implemented in platform/ and by test fakes.
class worker_advisor {
public:
    using handler = std::function<void(const std::optional<worker_advice>&)>;

    virtual ~worker_advisor() = default;
    /// Asks which of `workers` may run `step`, which is formatted like a task name without the task
    /// index. The call times out after `timeout`.
    virtual void ask(const std::string& step, const std::vector<worker_id>& workers,
                     duration timeout, handler done) = 0;
};

} // namespace figwinch
