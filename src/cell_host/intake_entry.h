#pragma once

#include "figwinch/cell.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <vector>

namespace figwinch {

/// Outcome of a write that a caller waits for.
enum class intake_outcome {
    stored,
    /// The records aren't in the log and never will be.
    not_stored,
    /// The records may be in the log or may still be appended.
    unknown,
    /// The log doesn't take the records, now or later. They aren't in the log.
    rejected,
};

/// A pending write of one caller's records to the intake stream. Owned by `intake_writer`.
struct intake_entry {
    std::vector<stored_record> records;
    instant deadline{};
    /// Called with the outcome and, if the records are stored, the offset of the first one.
    std::function<void(intake_outcome, std::uint64_t offset)> done;
    /// An append with these records timed out, so they may be in the log.
    bool may_be_stored = false;
    /// The records were found in a read of the stream.
    bool found_in_stream = false;
    /// This host doesn't append the records before this time: an earlier append of them may still
    /// wait in the log's queue.
    instant append_not_before{};
    /// The records are appended by this host and not handed over to the cell's shared writer.
    bool append_locally = false;
    /// Number of entries that one append with this entry may have, after the log has rejected a
    /// larger one; 0: no such limit.
    std::size_t max_batch_entries = 0;

    /// Reports the outcome to the caller. Only the first call has an effect.
    void complete(intake_outcome outcome, std::uint64_t offset = 0);
    bool is_complete() const { return !done; }
    std::size_t bytes() const;
    /// Whether `record`, read from the log, shows that this entry is stored.
    bool matches(const stored_record& record) const;
};

using intake_entries = std::deque<intake_entry>;

/// Concatenates the records of all entries.
std::vector<stored_record> records_of(const intake_entries& entries);

} // namespace figwinch
