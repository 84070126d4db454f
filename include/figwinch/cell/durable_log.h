#pragma once

#include "figwinch/base.h"

#include <array>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace figwinch {

/// What is kept where. Each stream is an ordered log of its own.
enum class cell_stream {
    /// Jobs and cancellations; every host appends.
    intake,
    /// Progress of jobs and workers in use; the coordinator alone appends, fenced by its epoch.
    progress,
    /// Who is the coordinator.
    reigns,
    /// What operators have published; only read.
    operators,
    /// Workers as they list themselves; only read.
    workers,
};

inline constexpr std::array all_streams = {cell_stream::intake, cell_stream::progress,
                                           cell_stream::reigns, cell_stream::operators,
                                           cell_stream::workers};

/// "intake" and so on, for logs.
const char* to_string(cell_stream stream);

/// One record: the newest of a key replaces the earlier ones. No value drops the key.
struct stored_record {
    std::string key;
    std::optional<std::string> value;
    /// Position in the stream, counted from 0; set by the log.
    std::uint64_t offset = 0;
};

/// Why a call to the log didn't succeed.
enum class log_fault {
    none,
    /// The log says so itself: nothing was done.
    unavailable,
    /// No whole answer: an append may have been done or may be done later.
    silent,
    /// Another writer came first; `end` says where the stream ends.
    moved,
    /// A higher epoch has been seen: this writer is no longer the coordinator.
    fenced,
    /// The sequence number doesn't follow; `end` holds the one expected.
    out_of_sequence,
    /// What was asked for has expired; `first` says what is left.
    expired,
};

/// "silent" and so on, for logs.
const char* to_string(log_fault fault);

/// How an append is guarded. At most one of the two is used.
struct append_guard {
    /// Only if the stream ends here.
    std::optional<std::uint64_t> at;
    /// Only by the newest epoch, and once for each sequence number.
    std::optional<lease_epoch> epoch;
    std::uint64_t sequence = 0;
};

struct append_result {
    log_fault fault = log_fault::none;
    std::uint64_t offset = 0;
    std::uint64_t end = 0;
};

struct read_result {
    log_fault fault = log_fault::none;
    std::vector<stored_record> records;
    std::uint64_t end = 0;
    std::uint64_t first = 0;
};

/// A page of the newest records of all keys; not a snapshot.
struct newest_result {
    log_fault fault = log_fault::none;
    std::vector<stored_record> records;
    /// The key to continue after; empty: this was the last page.
    std::string next_key;
    std::uint64_t end = 0;
};

/// The port to the log that outlives all hosts. Calls never block and call back once each within
/// their timeout. Implemented by platform/ and by fakes in tests.
class durable_log {
public:
    virtual ~durable_log() = default;
    virtual void append(cell_stream stream, const std::vector<stored_record>& records,
                        const append_guard& guard, std::function<void(append_result)> done) = 0;
    /// Answers as soon as there is a record at `from`, at the latest after `wait`.
    virtual void read(cell_stream stream, std::uint64_t from, duration wait,
                      std::function<void(read_result)> done) = 0;
    virtual void newest(cell_stream stream, const std::string& after_key,
                        std::function<void(newest_result)> done) = 0;
    /// How long calls that read a stream wait without a byte, beyond the wait that they ask for.
    /// One that is given up may still be answered, and takes its share of what the log can send.
    virtual void wait_for_reads(cell_stream, duration) {}
    /// An append that has been sent for longer isn't done any more: appends wait in the log, and
    /// one that would wait longer is refused.
    virtual duration longest_queue() const { return duration::zero(); }
};

} // namespace figwinch
