#pragma once

#include "figwinch/learning/size_estimator.h"
#include "learning/lru_map.h"
#include "learning/sampled_use.h"

namespace figwinch {

/// Estimates the size from the peak use of a window of recent tasks of each (customer, template)
/// pair. See docs/design/learning.md for the choice of this method.
class window_size_estimator final : public size_estimator {
public:
    explicit window_size_estimator(const settings& with);

    void observe(const customer_id& customer, const template_id& copied_from, const task_id& task,
                 const resources& used) override;
    resources commit_size(const customer_id& customer, const template_id& copied_from,
                          const resources& declared) const override;
    std::size_t pairs() const override { return pairs_.size(); }

private:
    struct pair_key {
        customer_id customer;
        template_id copied_from;
        friend bool operator==(const pair_key&, const pair_key&) = default;
        template <class Hash>
        friend Hash AbslHashValue(Hash state, const pair_key& key) {
            return Hash::combine(std::move(state), key.customer, key.copied_from);
        }
    };

    std::int64_t with_margin(std::int64_t peak) const;

    settings settings_;
    lru_map<pair_key, sampled_use> pairs_;
};

} // namespace figwinch
