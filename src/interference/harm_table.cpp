#include "interference/harm_table.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace figwinch {
namespace {

/// Weight of one observation; single ones are confounded by load that shifts at the same time.
constexpr double learning_rate = 0.3;
/// How fast what was learned falls back to unknown. Templates change, but a pair that hurts only
/// under load must be remembered from one busy hour to the next.
constexpr std::chrono::duration<double> half_life = std::chrono::hours(2);

} // namespace

double harm_table::harm(const service_id& service, const template_id& copied_from,
                        instant now) const {
    const learned* pair = pairs_.find({service, copied_from});
    if (pair == nullptr)
        return unknown;
    const std::chrono::duration<double> age = now - pair->at;
    return unknown + (pair->harm - unknown) * std::exp2(-(age / half_life));
}

void harm_table::learn(const service_id& service, const template_id& copied_from, double observed,
                       instant now) {
    const double before = harm(service, copied_from, now);
    learned& pair = pairs_.touch({service, copied_from});
    pair.harm = before + learning_rate * (std::clamp(observed, 0.0, 1.0) - before);
    pair.at = now;
}

} // namespace figwinch
