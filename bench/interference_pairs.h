#pragma once

#include <cstddef>
#include <random>
#include <vector>

namespace figwinch {

/// How much one core of a template slows one service: drawn at random, unknown to the rules.
struct pair_factor {
    /// Added to the service time for each core of the task.
    double per_core = 0;
    /// Share of the effect that a throttle doesn't take away (memory that is held).
    double unthrottled_share = 0;
    /// The pair hurts only when the service is more than half loaded.
    bool only_under_load = false;
};

/// The factors of every pair of service and template.
class interference_pairs {
public:
    static constexpr std::size_t services = 3;
    static constexpr std::size_t templates = 8;

    explicit interference_pairs(std::mt19937_64& random) : factors_(services * templates) {
        std::uniform_real_distribution<double> chance(0, 1);
        for (pair_factor& factor : factors_) {
            const double kind = chance(random);
            const double strength = kind < 0.6 ? 0.01 : kind < 0.85 ? 0.08 : 0.25;
            factor.per_core = strength * (0.5 + chance(random));
            factor.unthrottled_share = chance(random) < 0.3 ? 0.3 : 0.0;
            factor.only_under_load = chance(random) < 0.4;
        }
    }

    /// What `cores` of the template at `percent` add to the service time at this load.
    double slowdown(std::size_t service, std::size_t copied_from, double cores, int percent,
                    double load) const {
        const pair_factor& factor = factors_[service * templates + copied_from];
        const double running = factor.unthrottled_share +
                               (1 - factor.unthrottled_share) * static_cast<double>(percent) / 100;
        const double loaded = factor.only_under_load ? (load > 0.5 ? (load - 0.5) * 3 : 0) : 1;
        return factor.per_core * cores * running * loaded;
    }

private:
    std::vector<pair_factor> factors_;
};

} // namespace figwinch
