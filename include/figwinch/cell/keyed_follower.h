#pragma once

#include "figwinch/cell/durable_log.h"

#include <absl/container/flat_hash_set.h>

#include <functional>
#include <memory>

namespace figwinch {

/// How often, and with what wait, a follower reads a stream of the log.
struct follow_pace {
    /// How long the log may hold one read until there is a record; 0: the log answers at once.
    duration wait{};
    /// The minimum time between the starts of two reads.
    duration period = std::chrono::milliseconds(250);
};

/// Follows one stream of the log: loads the newest record of every key in pages (snapshot load),
/// then reads what is appended (tail reads). If the log no longer keeps the records that come next,
/// the follower loads again and reports keys that have disappeared since as deleted. Driven by
/// `tick` and the log's answers.
class keyed_follower {
public:
    keyed_follower(const clock& time, durable_log& log, cell_stream stream, follow_pace pace,
                   std::function<void(const stored_record&)> apply);

    void tick();
    void set_pace(follow_pace pace) { pace_ = pace; }
    /// Starts a read up to the present end of the stream at once; calls back with whether it
    /// succeeded.
    void sync(std::function<void(bool)> done);
    /// Tells the follower of a record that this process has appended and already applied, so that
    /// it isn't applied again.
    void skip(const stored_record& record);
    /// Drops what has been read and cancels calls in flight. The next load starts at `from` at the
    /// earliest.
    void reset(instant from);
    /// Sets the maximum read timeout. During a load the timeout doubles after each read that times
    /// out, up to this maximum, since many hosts that load at the same time may exceed the log's
    /// bandwidth.
    void wait_longer(duration longest) { longest_silence_ = longest; }

    /// Whether every key has been read at least once.
    bool is_loaded() const { return loaded_; }
    std::uint64_t next() const { return next_; }
    /// The time up to which all records of the stream are known: the start of the last load, or of
    /// the last read that reached the end of the stream.
    instant current_at() const { return current_at_; }
    /// When the log last answered a call.
    instant answered_at() const { return answered_at_; }
    /// Whether the last call failed or timed out.
    bool is_failing() const { return failing_; }

private:
    static constexpr duration least_silence = std::chrono::milliseconds(500);

    void load();
    void begin_load();
    void take_page(const newest_result& page);
    void read_between_pages();
    void take_between_pages(const read_result& read);
    void finish_load();
    void read(duration wait);
    void take(const read_result& read);
    void sync_again();
    void take_record(const stored_record& record);
    /// Adds the record's key to the set, or removes it if the record deletes the key. At the end of
    /// a load, keys that are in the old set only are reported as deleted.
    static void note_key(absl::flat_hash_set<std::string>& keys, const stored_record& record);
    void retry_later(log_fault fault);
    void note_answer();
    void set_silence(duration silence);
    void finish_syncs(bool good);

    const clock& time_;
    durable_log& log_;
    cell_stream stream_;
    follow_pace pace_;
    std::function<void(const stored_record&)> apply_;
    bool busy_ = false;
    bool loaded_ = false;
    std::uint64_t next_ = 0;
    std::uint64_t load_end_ = 0;
    /// The last key of the pages read so far; empty if no load is in progress.
    std::string loaded_to_;
    /// When the records that were appended since the load began were last read.
    instant read_between_at_{};
    bool first_page_ = true;
    absl::flat_hash_set<std::string> keys_;
    absl::flat_hash_set<std::string> loading_keys_;
    instant next_read_{};
    instant answered_at_{};
    instant asked_at_{};
    instant current_at_{};
    instant load_began_{};
    bool failing_ = false;
    duration silence_ = least_silence;
    duration longest_silence_ = least_silence;
    /// Since when calls for this stream have failed.
    instant failing_since_{};
    /// Callers of `sync` that wait for the next read, and those that wait for the read in flight.
    std::vector<std::function<void(bool)>> asked_;
    std::vector<std::function<void(bool)>> being_answered_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
