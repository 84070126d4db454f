#include "interference/harm_model.h"

#include <algorithm>
#include <cmath>

namespace figwinch {
namespace {

/// The service's own share follows quickly, the pairs slowly: what changes from one second to the
/// next is mostly the load.
constexpr double alone_rate = 0.1;
constexpr double pair_rate = 0.005;
/// Errors are cut to this, so that one saturated second does not rewrite what was learned.
constexpr double largest_error = 1;
constexpr double largest_harm = 0.6;
/// Share of the highest load below which a measurement says nothing of the neighbours.
constexpr double telling_load = 0.5;
constexpr double smallest_ratio = 0.01;

} // namespace

void harm_model::learn(const service_id& service, double load, double ratio,
                       std::span<const exposure> neighbours) {
    alone& base = services_.touch(service);
    double predicted = base.idle + base.slope * load;
    double norm = 1 + load * load;
    for (const exposure& neighbour : neighbours) {
        const double input = neighbour.cores * load;
        predicted += per_core(service, neighbour.copied_from) * input;
        norm += input * input;
    }
    const double error = std::log(std::max(ratio, smallest_ratio)) - predicted;
    const double step = std::clamp(error, -largest_error, largest_error) / norm;
    base.idle += alone_rate * step;
    base.slope = std::max(base.slope + alone_rate * step * load, 0.0);
    // Many pairs hurt only under load. A quiet night would show the model, thousands of times, that
    // they don't hurt at all, and each morning would begin with them side by side again.
    if (load < telling_load)
        return;
    for (const exposure& neighbour : neighbours) {
        double& harm = pairs_.touch({service, neighbour.copied_from}).per_core;
        harm = std::clamp(harm + pair_rate * step * neighbour.cores * load, 0.0, largest_harm);
    }
}

double harm_model::per_core(const service_id& service, const template_id& copied_from) const {
    const pair_harm* pair = pairs_.find({service, copied_from});
    return pair == nullptr ? unknown : pair->per_core;
}

} // namespace figwinch
