#include "cell_host/append_pace.h"

#include "figwinch/observe.h"

#include <algorithm>

namespace figwinch {
namespace {

// Lower latencies never count as slow: a host that isn't the coordinator ticks every 25 ms, which
// delays its appends by that order.
constexpr duration least_slow = std::chrono::milliseconds(50);
constexpr int slow_factor = 8;
constexpr int fast_factor = 4;
// Baseline before the first measurement: the latency of an intercontinental link.
constexpr duration first_usual = std::chrono::milliseconds(50);
// A slower append moves the baseline by 1/16 of the difference.
constexpr int memory = 16;
// Minimum duration of the slow state, so that one quick append among slow ones doesn't end it.
constexpr duration least_stay = std::chrono::milliseconds(300);

std::int64_t in_ms(duration span) {
    return span / std::chrono::milliseconds(1);
}

} // namespace

void append_pace::note(duration took) {
    latest_ = took;
    measured_at_ = time_.now();
    if (took > std::max(least_slow, usual() * slow_factor))
        become_slow(took);
    if (slow_)
        least_ = std::min(took, least_.value_or(took));
    if (slow_ && took <= std::max(least_slow / 2, usual() * fast_factor))
        become_fast(took);
    if (slow_)
        return;
    usual_ = took < usual() ? took : usual() + (took - usual()) / memory;
}

void append_pace::note_waiting(duration waited) {
    if (waited > std::max(least_slow, usual() * slow_factor))
        become_slow(waited);
}

void append_pace::note_full() {
    become_slow(latest_);
}

duration append_pace::usual() const {
    return usual_.value_or(first_usual);
}

bool append_pace::measured_within(duration span) const {
    return time_.now() - measured_at_ < span;
}

void append_pace::become_slow(duration took) {
    if (slow_)
        return;
    slow_ = true;
    least_.reset();
    slow_since_ = time_.now();
    ++times_slow_;
    log_event(log_level::warn, "log_slow",
              {{"append_ms", in_ms(took)}, {"usual_ms", in_ms(usual())}});
}

void append_pace::become_fast(duration took) {
    if (time_.now() - slow_since_ < least_stay)
        return;
    slow_ = false;
    log_event(log_level::info, "log_fast",
              {{"append_ms", in_ms(took)}, {"after_ms", in_ms(time_.now() - slow_since_)}});
}

} // namespace figwinch
