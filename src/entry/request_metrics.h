#pragma once

#include "figwinch/config.h"
#include "figwinch/observe.h"

#include <array>

namespace figwinch {

/// Counters of interactive requests; docs/operations/interactive.md says what they mean.
class request_metrics {
public:
    explicit request_metrics(metrics& into);

    void note_answer(result_code code, work_class request_class, duration latency);
    void note_dispatch(bool forwarded, bool again);
    void note_claim(bool granted);
    void set_waiting(std::size_t waiting);
    /// Answers that named another request or customer.
    void note_crossed();

private:
    metrics& into_;
    std::array<prometheus::Histogram*, 3> latency_{};
    prometheus::Counter* dispatches_;
    prometheus::Counter* forwards_;
    prometheus::Counter* retries_;
    prometheus::Counter* claims_granted_;
    prometheus::Counter* claims_refused_;
    prometheus::Counter* crossed_;
    prometheus::Gauge* waiting_;
};

} // namespace figwinch
