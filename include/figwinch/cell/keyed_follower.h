#pragma once

#include "figwinch/cell/durable_log.h"

#include <absl/container/flat_hash_set.h>

#include <functional>
#include <memory>

namespace figwinch {

/// How often, and with what wait, a follower reads a stream of the log.
struct follow_options {
    /// How long the log may hold one read until there is a record; 0: the log answers at once.
    duration wait{};
    /// The minimum time between the starts of two reads.
    duration min_period = std::chrono::milliseconds(250);
};

/// Follows one stream of the log: loads the newest record of every key in pages (snapshot load),
/// then reads what is appended (tail reads). If the log no longer keeps the records that come next,
/// the follower loads again and reports keys that have disappeared since as deleted. Driven by
/// `tick` and the log's answers.
class keyed_follower {
public:
    keyed_follower(const clock& time, durable_log& log, cell_stream stream, follow_options pace,
                   std::function<void(const stored_record&)> apply);

    void tick();
    void set_options(follow_options pace) { options_ = pace; }
    /// Starts a read up to the present end of the stream at once; calls back with whether it
    /// succeeded.
    void sync(std::function<void(bool)> done);
    /// Tells the follower of a record that this process has appended and already applied, so that
    /// it isn't applied again.
    void on_own_append(const stored_record& record);
    /// Drops what has been read and cancels calls in flight. The next load starts at `from` at the
    /// earliest.
    void reset(instant from);
    /// Sets the maximum read timeout. During a load the timeout doubles after each read that times
    /// out, up to this maximum, since many hosts that load at the same time may exceed the log's
    /// bandwidth.
    void set_max_read_timeout(duration longest) { max_read_timeout_ = longest; }

    /// Whether every key has been read at least once.
    bool is_loaded() const { return loaded_; }
    std::uint64_t next_offset() const { return next_offset_; }
    /// The time up to which all records of the stream are known: the start of the last load, or of
    /// the last read that reached the end of the stream.
    instant current_as_of() const { return current_as_of_; }
    /// When the log last answered a call.
    instant answered_at() const { return answered_at_; }
    /// Whether the last call failed or timed out.
    bool is_failing() const { return failing_; }

private:
    static constexpr duration min_read_timeout = std::chrono::milliseconds(500);

    void load();
    void begin_load();
    void apply_page(const newest_result& page);
    void read_tail_during_load();
    void apply_tail_during_load(const read_result& read);
    void finish_load();
    void read(duration wait);
    void apply_read(const read_result& read);
    void requeue_syncs();
    void apply_record(const stored_record& record);
    /// Adds the record's key to the set, or removes it if the record deletes the key. At the end of
    /// a load, keys that are in the old set only are reported as deleted.
    static void update_keys(absl::flat_hash_set<std::string>& keys, const stored_record& record);
    void retry_later(log_fault fault);
    void on_answer();
    void update_read_timeout(duration timeout);
    void finish_syncs(bool succeeded);

    const clock& time_;
    durable_log& log_;
    cell_stream stream_;
    follow_options options_;
    std::function<void(const stored_record&)> apply_;
    bool call_in_flight_ = false;
    bool loaded_ = false;
    std::uint64_t next_offset_ = 0;
    std::uint64_t load_end_offset_ = 0;
    /// The last key of the pages read so far; empty if no load is in progress.
    std::string load_cursor_;
    /// When the records that were appended since the load began were last read.
    instant tail_read_at_{};
    bool first_page_ = true;
    absl::flat_hash_set<std::string> keys_;
    absl::flat_hash_set<std::string> loading_keys_;
    instant next_read_at_{};
    instant answered_at_{};
    instant read_started_at_{};
    instant current_as_of_{};
    instant load_started_at_{};
    bool failing_ = false;
    duration read_timeout_ = min_read_timeout;
    duration max_read_timeout_ = min_read_timeout;
    /// Since when calls for this stream have failed.
    instant failing_since_{};
    /// Callers of `sync` that wait for the next read, and those that wait for the read in flight.
    std::vector<std::function<void(bool)>> queued_syncs_;
    std::vector<std::function<void(bool)>> syncs_in_flight_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
