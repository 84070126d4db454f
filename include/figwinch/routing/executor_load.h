#pragma once

#include "figwinch/base.h"

#include <array>
#include <cstdint>

namespace figwinch {

/// What an entry has seen of one executor's speed: a moving mean that decides, and a histogram for
/// reports to schedulers. Owned by `executor_pool`.
class executor_load {
public:
    void note(duration latency, instant now);
    /// Mean latency, drawn towards `usual` while the executor has not been used, so that one that
    /// was slow for a while is tried again.
    duration expected(duration usual, instant now) const;
    /// The 99th percentile since `take_report` was called last, at the precision of the buckets.
    duration p99() const;
    std::int64_t samples() const { return samples_; }
    void reset_report();

private:
    /// Buckets grow by a quarter from 100 us; the last one is open.
    static constexpr std::size_t buckets = 72;

    duration mean_{};
    instant last_{};
    std::array<std::uint32_t, buckets> histogram_{};
    std::int64_t samples_ = 0;
};

} // namespace figwinch
