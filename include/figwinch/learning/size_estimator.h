#pragma once

#include "figwinch/base.h"

#include <memory>

namespace figwinch {

/// Estimates the resources that tasks of a customer and template need from their measured use,
/// since declared sizes are often copied from examples. Memory is bounded: the least recently
/// observed (customer, template) pairs are evicted. Owned by a scheduler.
class size_estimator {
public:
    struct settings {
        /// Number of (customer, template) pairs kept.
        std::size_t max_pairs = 20'000;
        /// Number of distinct tasks that must have been observed before an estimate below the
        /// declared size is used.
        int min_samples = 5;
        /// Margin added to the measured peak, in percent.
        int margin_percent = 20;
    };

    static std::unique_ptr<size_estimator> create(const settings& with);
    virtual ~size_estimator() = default;

    /// Records one usage report of a running task; reports may arrive late. The caller must leave
    /// out tasks under CPU throttle: they use less than they need. Ignores reports of zero use and
    /// of tasks without a template.
    virtual void observe(const customer_id& customer, const template_id& copied_from,
                         const task_id& task, const resources& used) = 0;
    /// The resources to commit for a task: the estimate, but no less than the declared size until
    /// `min_samples` tasks have been observed. Accelerators are always as declared. CPU and memory
    /// are never zero.
    virtual resources commit_size(const customer_id& customer, const template_id& copied_from,
                                  const resources& declared) const = 0;
    /// Number of (customer, template) pairs that are tracked.
    virtual std::size_t pairs() const = 0;
};

} // namespace figwinch
