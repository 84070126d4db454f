#pragma once

#include "figwinch/cell.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace figwinch {

/// What became of records that were handed to the cell's writer.
struct handover_result {
    enum class kind {
        stored,
        /// Certainly not in the log, and never will be.
        not_stored,
        /// The other host doesn't write for others: it has done nothing.
        not_taken,
        unknown,
    };
    kind outcome = kind::unknown;
    /// Of the first record.
    std::uint64_t offset = 0;
    /// What the writer's newest append took.
    duration append{};
};

/// The one host of the cell that appends for all while the log is slow, as seen by another.
class shared_writer {
public:
    using handler = std::function<void(const handover_result&)>;

    virtual ~shared_writer() = default;
    /// Whether there is one, other than this host, that is worth asking.
    virtual bool is_open() const = 0;
    /// Calls back once, within `patience`, and as soon as the writer seems to be gone.
    virtual void hand(const std::vector<stored_record>& records, duration patience,
                      handler done) = 0;
};

} // namespace figwinch
