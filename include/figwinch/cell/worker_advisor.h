#pragma once

#include "figwinch/base.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace figwinch {

/// How long a queue's advisor takes and for how long its advice holds; from the configuration.
struct advice_terms {
    /// For a call, and for each worker that it names.
    duration decide{};
    duration each{};
    /// From the answer.
    duration valid{};
};

/// What an advisor said of the workers that it was asked about: those that may run the step. The
/// others may not, now or later.
struct worker_advice {
    struct row {
        worker_id worker;
        /// Carried by every start of the step on that worker.
        std::string ticket;
    };
    std::vector<row> good;
    /// As the answer has it; the terms' value when it has none.
    std::optional<duration> valid;
};

/// The port to the service that knows which workers may run a step of a queue whose policy allows
/// only some. Answers one call at a time; calls back once, with nothing when there was no answer or
/// too many were waiting. Implemented by platform/ and by fakes in tests.
class worker_advisor {
public:
    using handler = std::function<void(const std::optional<worker_advice>&)>;

    virtual ~worker_advisor() = default;
    /// `step` is named like a task without its index. `patience`: no answer after that is waited
    /// for.
    virtual void ask(const std::string& step, const std::vector<worker_id>& workers,
                     duration patience, handler done) = 0;
};

} // namespace figwinch
