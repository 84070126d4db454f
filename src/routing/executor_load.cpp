#include "figwinch/routing/executor_load.h"

#include <algorithm>
#include <cmath>

namespace figwinch {
namespace {

constexpr double first_bound_us = 100;
constexpr double growth = 1.25;
constexpr int mean_weight = 8;
/// After this long without a sample half of the difference to the usual latency is forgotten.
constexpr duration half_life = std::chrono::seconds(2);

std::size_t bucket_of(duration latency, std::size_t buckets) {
    const double ratio = std::max(1.0, double(latency.count()) / first_bound_us);
    const auto index = static_cast<std::size_t>(std::ceil(std::log(ratio) / std::log(growth)));
    return std::min(index, buckets - 1);
}

} // namespace

void executor_load::note(duration latency, instant now) {
    mean_ = mean_ == duration::zero() ? latency : mean_ + (latency - mean_) / mean_weight;
    last_ = now;
    ++histogram_[bucket_of(latency, buckets)];
    ++samples_;
}

duration executor_load::expected(duration usual, instant now) const {
    if (mean_ == duration::zero())
        return usual;
    const double age = double((now - last_).count()) / double(half_life.count());
    const double kept = std::exp2(-age);
    return usual + duration(std::llround(double((mean_ - usual).count()) * kept));
}

duration executor_load::p99() const {
    const std::int64_t wanted = samples_ - samples_ / 100;
    std::int64_t seen = 0;
    double bound = first_bound_us;
    for (const std::uint32_t count : histogram_) {
        seen += count;
        if (seen >= wanted)
            break;
        bound *= growth;
    }
    return duration(std::llround(bound));
}

void executor_load::reset_report() {
    histogram_.fill(0);
    samples_ = 0;
}

} // namespace figwinch
