#pragma once

#include "figwinch/base.h"

#include <memory>

namespace figwinch {

/// Learns what tasks of one customer and template use, since declared sizes are copied from
/// examples. State is bounded: the least recently seen pairs are forgotten. Owned by a scheduler.
class size_estimator {
public:
    struct settings {
        std::size_t max_pairs = 20'000;
        /// Distinct tasks that must have been seen before a learned size replaces the declared one.
        int min_samples = 5;
        /// Margin over the learned high quantile, in percent.
        int margin_percent = 20;
    };

    static std::unique_ptr<size_estimator> create(const settings& with);
    virtual ~size_estimator() = default;

    /// One lagging report of a running task. Leave out tasks that are throttled: what they use is
    /// not what they need. A report without any use, or of a task without a template, is ignored.
    virtual void observe(const customer_id& customer, const template_id& copied_from,
                         const task_id& task, const resources& used) = 0;
    /// What to commit for a task: the declared size until enough is known, then the learned one.
    /// Accelerators are always as declared. Never zero.
    virtual resources commit_size(const customer_id& customer, const template_id& copied_from,
                                  const resources& declared) const = 0;
    virtual std::size_t pairs() const = 0;
};

} // namespace figwinch
