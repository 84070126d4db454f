#pragma once

#include "figwinch/base.h"

#include <cstdint>
#include <vector>

namespace figwinch {

/// Peaks of the use of a few recent tasks of one customer and template. A task that is sampled
/// stays until it has been watched for a while, so that its peak is not only its ramp-up. Owned
/// by `window_size_estimator`. Units: thousandths of a core, mebibytes.
class sampled_use {
public:
    /// How many recent tasks are sampled.
    static constexpr std::size_t window = 16;

    /// One lagging report of one task; the hash stands for its id.
    void observe(std::uint64_t task_hash, const resources& used);

    /// Distinct tasks seen, counted up to the size of the window.
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

    /// Reports after which a sampled task has shown its use and may give way to another.
    static constexpr std::uint32_t settled_reports = 4;
    /// Reports of other tasks without one of its own after which a sampled task has ended.
    static constexpr std::uint32_t unseen_reports = 64;

    sample* find(std::uint64_t task_hash);
    /// Samples a task that is not sampled yet; null while every sample is still being watched.
    sample* admit(std::uint64_t task_hash, const resources& used);
    bool is_settled(const sample& candidate) const;

    std::vector<sample> samples_;
    std::uint32_t reports_ = 0;
    std::uint32_t next_ = 0;
};

} // namespace figwinch
