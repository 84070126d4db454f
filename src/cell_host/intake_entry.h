#pragma once

#include "figwinch/cell.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

namespace figwinch {

/// What became of a record that a caller waits for.
enum class intake_outcome {
    stored,
    /// Certainly not in the log, and never will be.
    not_stored,
    /// May be in the log or still get there.
    unknown,
};

/// Records of one caller on their way to the intake stream. Owned by `intake_writer`.
struct intake_entry {
    std::vector<stored_record> records;
    instant deadline{};
    /// With the offset of the first record, where they are stored and that is known.
    std::function<void(intake_outcome, std::uint64_t offset)> done;
    /// An append that held it went unanswered: it may be in the log.
    bool doubtful = false;
    /// The stream was seen to hold it.
    bool seen = false;
    /// This host appends it itself no sooner: an earlier append of it may wait in the log's queue.
    instant append_from{};
    /// It isn't handed to the cell's writer: this host appends it.
    bool own = false;

    /// Tells the caller once.
    void end(intake_outcome outcome, std::uint64_t offset = 0);
    bool has_ended() const { return !done; }
    std::size_t bytes() const;
    /// Whether the log holds it, given that it holds `record`.
    bool is_in(const stored_record& record) const;
};

using intake_entries = std::deque<intake_entry>;

/// The records of all, in order.
std::vector<stored_record> records_of(const intake_entries& entries);

} // namespace figwinch
