#include "learning/window_size_estimator.h"

#include <algorithm>

namespace figwinch {
namespace {

/// The minimum committed for any task, so that a size is never zero.
constexpr resources min_size{.cpu_millis = 10, .memory_mib = 16};

resources raise_to_min_size(resources size) {
    size.cpu_millis = std::max(size.cpu_millis, min_size.cpu_millis);
    size.memory_mib = std::max(size.memory_mib, min_size.memory_mib);
    return size;
}

} // namespace

std::unique_ptr<size_estimator> size_estimator::create(const settings& with) {
    return std::make_unique<window_size_estimator>(with);
}

window_size_estimator::window_size_estimator(const settings& with)
    : settings_(with), pairs_(with.max_pairs) {
    settings_.min_samples = std::min(settings_.min_samples, static_cast<int>(sampled_use::window));
}

void window_size_estimator::observe(const customer_id& customer, const template_id& copied_from,
                                    const task_id& task, const resources& used) {
    // A report sent before the worker's first measurement has zero use. Recording it would count
    // the task as one that needs no resources.
    if (used.cpu_millis <= 0 && used.memory_mib <= 0)
        return;
    if (copied_from.empty())
        return;
    pairs_.touch({customer, copied_from}).observe(stable_hash(task.str()), used);
}

resources window_size_estimator::commit_size(const customer_id& customer,
                                             const template_id& copied_from,
                                             const resources& declared) const {
    const sampled_use* use = pairs_.find({customer, copied_from});
    if (use == nullptr)
        return raise_to_min_size(declared);
    resources size = declared;
    size.cpu_millis = with_margin(use->peak_cpu_millis());
    size.memory_mib = with_margin(use->peak_memory_mib());
    if (use->tasks_seen() < settings_.min_samples) {
        size.cpu_millis = std::max(size.cpu_millis, declared.cpu_millis);
        size.memory_mib = std::max(size.memory_mib, declared.memory_mib);
    }
    return raise_to_min_size(size);
}

std::int64_t window_size_estimator::with_margin(std::int64_t peak) const {
    return peak + (peak * settings_.margin_percent + 99) / 100;
}

} // namespace figwinch
