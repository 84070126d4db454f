#pragma once

#include "figwinch/base.h"

#include <cstdint>
#include <vector>

namespace figwinch {

/// Peak CPU and memory use of a window of recent tasks of one customer and template. A sampled task
/// normally stays in the window until it has sent several reports, so that its peak covers more
/// than its ramp-up. Owned by `window_size_estimator`. Units: thousandths of a core, mebibytes.
class sampled_use {
public:
    /// Number of recent tasks that are sampled.
    static constexpr std::size_t window = 16;

    /// Records one usage report of a task, which is identified by the hash of its id.
    void observe(std::uint64_t task_hash, const resources& used);

    /// Number of distinct tasks observed, at most `window`.
    int tasks_seen() const { return static_cast<int>(samples_.size()); }
    std::int64_t peak_cpu_millis() const;
    std::int64_t peak_memory_mib() const;

private:
    struct sample {
        std::uint64_t task_hash = 0;
        std::uint32_t cpu_millis = 0;
        std::uint32_t memory_mib = 0;
        std::uint32_t last_report = 0;
        std::uint32_t reports = 0;
    };

    /// Number of reports after which a sampled task may be replaced by another.
    static constexpr std::uint32_t reports_to_settle = 4;
    /// Number of reports of other tasks, without one of its own, after which a sampled task is
    /// taken to have ended.
    static constexpr std::uint32_t reports_until_ended = 64;

    sample* find(std::uint64_t task_hash);
    /// Adds a task to the window. Returns null if the window is full, the oldest sample may not be
    /// replaced yet, and the task's use is not above the peak.
    sample* add_sample(std::uint64_t task_hash, const resources& used);
    /// Whether the sample has enough reports, or its task has ended, so that it may be replaced.
    bool is_settled(const sample& candidate) const;

    std::vector<sample> samples_;
    std::uint32_t reports_ = 0;
    std::uint32_t oldest_index_ = 0;
};

} // namespace figwinch
