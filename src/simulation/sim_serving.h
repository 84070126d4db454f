#pragma once

#include "cell/throttle_controller.h"

#include <cmath>
#include <numbers>
#include <random>
#include <vector>

namespace figwinch {

/// A serving task as the sites show it: a queue with one server whose utilisation swings by a half
/// around 0.45 in 14 s, and is multiplied by what the neighbours do. Its reports are rough by 5%.
class sim_serving {
public:
    static constexpr double mean_load = 0.45;
    static constexpr double swing = 0.5;
    static constexpr double period_s = 14;
    /// The unloaded tail is a fifth of the target.
    static constexpr double unloaded_ratio = 0.2;

    explicit sim_serving(double phase) : phase_(phase) {}

    double load(double at_s) const {
        const double angle = 2 * std::numbers::pi * (at_s / period_s + phase_);
        return mean_load * (1 + swing * std::sin(angle));
    }
    /// tail / target with the neighbours' slowdown (a logarithm).
    double tail_ratio(double at_s, double slowdown) const {
        const double utilisation = std::min(0.99, load(at_s) * std::exp(slowdown));
        return unloaded_ratio / (1 - utilisation);
    }
    double reported(double at_s, double slowdown, std::mt19937_64& random) const {
        std::normal_distribution<double> rough(0, 0.05);
        return tail_ratio(at_s, slowdown) * std::exp(rough(random));
    }

    load_estimate estimate;
    tail_estimate tail;

private:
    double phase_;
};

} // namespace figwinch
