#pragma once

#include "figwinch/base.h"
#include "learning/lru_map.h"

namespace figwinch {

/// How much tasks of a template slow a service, learned from what throttling them changed.
/// Bounded; owned by the controller. Harm is 0 (none) to 1.
class harm_table {
public:
    /// What is assumed of a pair that nothing is known of.
    static constexpr double unknown = 0.2;

    explicit harm_table(std::size_t max_pairs) : pairs_(max_pairs) {}

    double harm(const service_id& service, const template_id& copied_from, instant now) const;
    /// Blends in one observation, 0 to 1.
    void learn(const service_id& service, const template_id& copied_from, double observed,
               instant now);

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
    struct learned {
        double harm = unknown;
        instant at{};
    };

    lru_map<pair_key, learned> pairs_;
};

} // namespace figwinch
