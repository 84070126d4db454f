#include "learning/sampled_use.h"

#include <algorithm>
#include <limits>

namespace figwinch {
namespace {

std::uint32_t clamp_to_uint32(std::int64_t value) {
    constexpr std::int64_t most = std::numeric_limits<std::uint32_t>::max();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(value, 0, most));
}

} // namespace

void sampled_use::observe(std::uint64_t task_hash, const resources& used) {
    ++reports_;
    sample* entry = find(task_hash);
    if (entry == nullptr)
        entry = add_sample(task_hash, used);
    if (entry == nullptr)
        return;
    entry->cpu_millis = std::max(entry->cpu_millis, clamp_to_uint32(used.cpu_millis));
    entry->memory_mib = std::max(entry->memory_mib, clamp_to_uint32(used.memory_mib));
    entry->last_report = reports_;
    ++entry->reports;
}

std::int64_t sampled_use::peak_cpu_millis() const {
    std::uint32_t peak = 0;
    for (const sample& entry : samples_)
        peak = std::max(peak, entry.cpu_millis);
    return peak;
}

std::int64_t sampled_use::peak_memory_mib() const {
    std::uint32_t peak = 0;
    for (const sample& entry : samples_)
        peak = std::max(peak, entry.memory_mib);
    return peak;
}

sampled_use::sample* sampled_use::find(std::uint64_t task_hash) {
    const auto found = std::ranges::find(samples_, task_hash, &sample::task_hash);
    return found == samples_.end() ? nullptr : &*found;
}

sampled_use::sample* sampled_use::add_sample(std::uint64_t task_hash, const resources& used) {
    if (samples_.size() < window)
        return &samples_.emplace_back(sample{.task_hash = task_hash});
    sample& oldest = samples_[oldest_index_];
    const bool settled = is_settled(oldest);
    // A task whose use is above the peak is sampled at once: its committed size may be too small
    // already, and further tasks of the template would be committed at that size until it is
    // sampled.
    const bool over_peak =
        used.cpu_millis > peak_cpu_millis() || used.memory_mib > peak_memory_mib();
    if (!over_peak && !settled)
        return nullptr;
    // A sample that is replaced before it has settled passes its peaks on to the new one: otherwise
    // a task with high CPU use would drop the memory peak of the task that it replaces.
    sample successor = settled ? sample{} : oldest;
    successor.task_hash = task_hash;
    successor.reports = 0;
    oldest = successor;
    oldest_index_ = (oldest_index_ + 1) % window;
    return &oldest;
}

bool sampled_use::is_settled(const sample& candidate) const {
    return candidate.reports >= reports_to_settle ||
           reports_ - candidate.last_report > reports_until_ended;
}

} // namespace figwinch
