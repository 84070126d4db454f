#include "cell_host/append_latency_monitor.h"

#include "figwinch/observe.h"

#include <algorithm>

namespace figwinch {
namespace {

// Lower latencies never count as slow: a host that isn't the coordinator ticks every 25 ms, which
// delays its appends by that order.
constexpr duration min_slow_latency = std::chrono::milliseconds(50);
constexpr int slow_factor = 8;
constexpr int fast_factor = 4;
// Baseline before the first measurement: the latency of an intercontinental link.
constexpr duration initial_baseline = std::chrono::milliseconds(50);
// A slower append moves the baseline by 1/16 of the difference.
constexpr int baseline_smoothing = 16;
// Minimum duration of the slow state, so that one quick append among slow ones doesn't end it.
constexpr duration min_slow_duration = std::chrono::milliseconds(300);

std::int64_t in_ms(duration span) {
    return span / std::chrono::milliseconds(1);
}

} // namespace

void append_latency_monitor::on_answered(duration took) {
    latest_ = took;
    measured_at_ = time_.now();
    if (took > std::max(min_slow_latency, baseline() * slow_factor))
        become_slow(took);
    if (slow_)
        lowest_while_slow_ = std::min(took, lowest_while_slow_.value_or(took));
    if (slow_ && took <= std::max(min_slow_latency / 2, baseline() * fast_factor))
        become_fast(took);
    if (slow_)
        return;
    baseline_ = took < baseline() ? took : baseline() + (took - baseline()) / baseline_smoothing;
}

void append_latency_monitor::on_pending(duration waited) {
    if (waited > std::max(min_slow_latency, baseline() * slow_factor))
        become_slow(waited);
}

void append_latency_monitor::on_queue_full() {
    become_slow(latest_);
}

duration append_latency_monitor::baseline() const {
    return baseline_.value_or(initial_baseline);
}

bool append_latency_monitor::measured_within(duration span) const {
    return time_.now() - measured_at_ < span;
}

void append_latency_monitor::become_slow(duration took) {
    if (slow_)
        return;
    slow_ = true;
    lowest_while_slow_.reset();
    slow_since_ = time_.now();
    ++times_slow_;
    log_event(log_level::warn, "log_slow",
              {{"append_ms", in_ms(took)}, {"usual_ms", in_ms(baseline())}});
}

void append_latency_monitor::become_fast(duration took) {
    if (time_.now() - slow_since_ < min_slow_duration)
        return;
    slow_ = false;
    log_event(log_level::info, "log_fast",
              {{"append_ms", in_ms(took)}, {"after_ms", in_ms(time_.now() - slow_since_)}});
}

} // namespace figwinch
