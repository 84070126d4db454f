#pragma once

#include "figwinch/base.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace figwinch {

/// The streams of the durable log. Each stream is ordered on its own; offsets of different streams
/// can't be compared.
enum class cell_stream {
    /// Jobs and cancellations. Every host appends to it.
    intake,
    /// Progress of jobs, and the workers in use. Only the coordinator appends, fenced by its epoch.
    progress,
    /// Leader election: claims, renewals and resignations of the coordinator.
    reigns,
    /// Configuration and commands published by operators. Read-only.
    operators,
    /// Workers as they register themselves. Read-only.
    workers,
};

inline constexpr std::array all_streams = {cell_stream::intake, cell_stream::progress,
                                           cell_stream::reigns, cell_stream::operators,
                                           cell_stream::workers};

/// The name of a stream for log events and metrics, such as "intake".
const char* to_string(cell_stream stream);

/// One record of a stream. The newest record of a key replaces the earlier ones; a record without a
/// value deletes the key.
struct stored_record {
    std::string key;
    std::optional<std::string> value;
    /// Position in the stream, counted from 0. Set by the log.
    std::uint64_t offset = 0;
};

/// Why a call to the log failed.
enum class log_fault {
    none,
    /// The log answered that it is unavailable; the call had no effect.
    unavailable,
    /// No complete answer before the timeout. An append may have taken effect or may still do so.
    silent,
    /// The append was conditional on the stream's end offset, and another writer appended first.
    /// The result holds the actual end offset.
    moved,
    /// The log has seen a higher epoch: this writer is no longer the coordinator.
    fenced,
    /// The append's sequence number isn't the next one. The result's `end_offset` holds the
    /// expected number.
    out_of_sequence,
    /// The requested records are no longer kept. The result holds the offset of the oldest record
    /// that is.
    expired,
    /// The log doesn't take these records, now or later: one of them, or all together, exceed its
    /// limits. The append had no effect.
    rejected,
};

/// The name of a fault for log events, such as "silent".
const char* to_string(log_fault fault);

/// The condition of an append. At most one of the end offset and the epoch is set.
struct append_guard {
    /// Append only if the stream ends at this offset (compare-and-append).
    std::optional<std::uint64_t> expected_end;
    /// Append only if no higher epoch has been seen, and only once for each sequence number.
    std::optional<lease_epoch> epoch;
    std::uint64_t sequence = 0;
};

struct append_result {
    log_fault fault = log_fault::none;
    std::uint64_t offset = 0;
    std::uint64_t end_offset = 0;
};

struct read_result {
    log_fault fault = log_fault::none;
    std::vector<stored_record> records;
    std::uint64_t end_offset = 0;
    std::uint64_t start_offset = 0;
};

/// One page of the newest record of each key, in key order. Pages are not a consistent snapshot:
/// the stream may change between them.
struct newest_result {
    log_fault fault = log_fault::none;
    std::vector<stored_record> records;
    /// The key after which the next page begins. Empty on the last page.
    std::string next_key;
    std::uint64_t end_offset = 0;
};

/// Interface to the replicated log that survives the loss of all hosts. Calls never block; each
/// calls back exactly once, within its timeout. Implemented in platform/ and by simulated logs in
/// tests.
class durable_log {
public:
    virtual ~durable_log() = default;
    virtual void append(cell_stream stream, const std::vector<stored_record>& records,
                        const append_guard& guard, std::function<void(append_result)> done) = 0;
    /// Reads records from an offset on. Answers as soon as there is a record at that offset, at the
    /// latest after `wait`.
    virtual void read(cell_stream stream, std::uint64_t from, duration wait,
                      std::function<void(read_result)> done) = 0;
    virtual void read_newest(cell_stream stream, const std::string& after_key,
                             std::function<void(newest_result)> done) = 0;
    /// Sets the timeout of reads of a stream: how long a read may go without receiving a byte,
    /// beyond the wait that it asks for. The log may still answer a read that has timed out, and
    /// that answer uses the log's bandwidth all the same.
    virtual void set_read_timeout(cell_stream, duration) {}
    /// The longest time that an append can wait in the log's queue; the log refuses appends that
    /// would wait longer. An append that was sent longer ago than this can't take effect any more.
    virtual duration max_append_wait() const { return duration::zero(); }
};

} // namespace figwinch
