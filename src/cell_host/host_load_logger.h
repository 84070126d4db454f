#pragma once

#include "figwinch/cell.h"

#include <array>
#include <cstdint>

namespace figwinch {

/// Counters of a host since the start of its process.
struct host_load_totals {
    std::uint64_t log_calls = 0;
    /// Calls made to workers, and the orders that were relayed for a coordinator on another host.
    std::uint64_t worker_calls = 0;
    std::uint64_t relayed_orders = 0;
    std::uint64_t queries = 0;
    std::uint64_t jobs_accepted = 0;
    std::array<stream_reads, all_streams.size()> reads{};
};

/// Logs a host's CPU time, its counts of calls and the largest delay of its event loop. Owned by
/// `cell_host`.
class host_load_logger {
public:
    /// Sets when the event loop's next tick is due.
    void set_tick_due(instant when) { due_ = when; }
    /// Records by how much the tick that begins `now` is late.
    void on_tick(instant now);
    /// Logs one line with the changes since the previous call and one for each stream that was
    /// read.
    void log(const host_load_totals& totals, std::size_t links, bool coordinates);

private:
    instant due_{};
    duration max_delay_{};
    host_load_totals last_totals_;
    duration last_cpu_time_{};
};

} // namespace figwinch
