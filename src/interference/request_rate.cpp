#include "interference/request_rate.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace figwinch {
namespace {

using seconds = std::chrono::duration<double>;

/// Reports come from several entries and with jitter; the count decays over a few of them.
constexpr seconds memory(3);
/// The highest rate is forgotten over days, so that a service that shrinks is judged anew.
constexpr seconds highest_memory = std::chrono::hours(72);

} // namespace

void request_rate::add(std::int64_t requests, instant now) {
    const seconds since = now - last_;
    recent_ = recent_ * std::exp(-(since / memory)) + static_cast<double>(requests);
    highest_ = std::max(highest_ * std::exp(-(since / highest_memory)), recent_);
    last_ = now;
}

double request_rate::load() const {
    return highest_ > 0 ? recent_ / highest_ : 0;
}

} // namespace figwinch
