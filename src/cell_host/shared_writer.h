#pragma once

#include "figwinch/cell.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace figwinch {

/// Outcome of handing records over to the cell's shared writer.
struct handover_result {
    enum class kind {
        stored,
        /// The records aren't in the log and never will be.
        not_stored,
        /// The other host isn't the shared writer and appended nothing.
        not_taken,
        /// The records may be in the log or may still be appended.
        unknown,
        /// The log doesn't take one of the records, so that it has none of them.
        rejected,
    };
    kind outcome = kind::unknown;
    /// Offset of the first record, if stored.
    std::uint64_t offset = 0;
    /// Latency of the writer's most recent append.
    duration writer_latency{};
};

/// Hands records over to the cell's shared writer: the one host that appends for all hosts while
/// the log is slow, so that their appends don't queue behind one another.
class shared_writer {
public:
    using handler = std::function<void(const handover_result&)>;

    virtual ~shared_writer() = default;
    /// Whether another host is the shared writer and isn't known to be unresponsive.
    virtual bool is_available() const = 0;
    /// Calls back once, within `timeout`, and earlier if the writer is found unresponsive.
    virtual void hand_over(const std::vector<stored_record>& records, duration timeout,
                           handler done) = 0;
};

} // namespace figwinch
