#include "interference/latency_signal.h"

#include <algorithm>

namespace figwinch {
namespace {

/// What was heard before weighs at most as much as this many requests.
constexpr double longest_memory = 30;
/// The p99 of fewer requests is their slowest, and one slow request is no reason to act.
constexpr double least_requests = 5;

} // namespace

void latency_signal::add(double ratio, std::int64_t samples, instant now) {
    heard_at_ = now;
    if (now < valid_from_ || samples <= 0)
        return;
    const auto count = static_cast<double>(samples);
    ratio_ += (ratio - ratio_) * count / (count + weight_);
    weight_ = std::min(weight_ + count, longest_memory);
}

void latency_signal::restart(instant valid_from) {
    valid_from_ = valid_from;
    weight_ = 0;
}

bool latency_signal::is_current(instant now) const {
    return weight_ >= least_requests && now - heard_at_ <= life;
}

} // namespace figwinch
