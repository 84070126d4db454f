#pragma once

#include "figwinch/cell.h"

#include <array>
#include <cstdint>

namespace figwinch {

/// What a host has done since its start.
struct host_load_totals {
    std::uint64_t log_calls = 0;
    /// Calls to workers that this process made, and how many of them for a coordinator elsewhere.
    std::uint64_t worker_calls = 0;
    std::uint64_t passed_on = 0;
    std::uint64_t questions = 0;
    std::uint64_t jobs_accepted = 0;
    std::array<stream_reads, all_streams.size()> reads{};
};

/// Tells in the log what a host's processor time and calls go into, and how late its loop is.
/// Owned by `cell_host`.
class host_load {
public:
    /// The loop's next turn is due at `when`.
    void expect_turn(instant when) { due_ = when; }
    void note_turn(instant now);
    /// One line on what has changed since the last one, and one on each stream that was read.
    void log(const host_load_totals& totals, std::size_t links, bool coordinates);

private:
    instant due_{};
    duration latest_{};
    host_load_totals told_;
    duration processor_told_{};
};

} // namespace figwinch
