#pragma once

#include "figwinch/base.h"
#include "learning/lru_map.h"

#include <span>

namespace figwinch {

/// What ran beside a service while it was measured: cores in use by tasks of one template.
struct exposure {
    template_id copied_from;
    double cores = 0;
};

/// Learns how much each core of a template slows each service, by an online regression of the
/// logarithm of the latency ratio on load and neighbours. The harm of a pair is the growth of that
/// logarithm for each core at full load, never below 0. Bounded; owned by the controller.
class harm_model {
public:
    /// What is assumed of a pair that nothing is known of.
    static constexpr double unknown = 0.05;

    explicit harm_model(std::size_t max_pairs) : pairs_(max_pairs), services_(max_services) {}

    /// One measurement of a service at `load` (0 to 1 of its highest).
    void learn(const service_id& service, double load, double ratio,
               std::span<const exposure> neighbours);
    double per_core(const service_id& service, const template_id& copied_from) const;

private:
    struct pair_key {
        service_id service;
        template_id copied_from;
        friend bool operator==(const pair_key&, const pair_key&) = default;
        template <class Hash>
        friend Hash AbslHashValue(Hash state, const pair_key& key) {
            return Hash::combine(std::move(state), key.service, key.copied_from);
        }
    };
    struct pair_harm {
        double per_core = unknown;
    };
    /// The logarithm of the ratio of the service alone: `idle + slope * load`.
    struct alone {
        double idle = -1;
        double slope = 1;
    };

    static constexpr std::size_t max_services = 1'000;

    lru_map<pair_key, pair_harm> pairs_;
    lru_map<service_id, alone> services_;
};

} // namespace figwinch
