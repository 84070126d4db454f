#pragma once

#include "figwinch/cell/durable_log.h"

#include <absl/container/flat_hash_set.h>

#include <functional>
#include <memory>

namespace figwinch {

/// How a follower asks the log for what is new.
struct follow_pace {
    /// How long one read may wait for a record; 0: answers at once.
    duration wait{};
    /// Reads begin at least this far apart.
    duration period = std::chrono::milliseconds(250);
};

/// Keeps up with one stream of the log: first the newest record of every key, then what is
/// appended. When the log has forgotten what comes next, it starts over and reports keys that
/// have gone meanwhile as dropped. Driven by `tick` and the log's answers.
class keyed_follower {
public:
    keyed_follower(const clock& time, durable_log& log, cell_stream stream, follow_pace pace,
                   std::function<void(const stored_record&)> apply);

    void tick();
    void set_pace(follow_pace pace) { pace_ = pace; }
    /// Reads up to the present end once, now; calls back with whether that succeeded.
    void sync(std::function<void(bool)> done);
    /// A record that this process appended itself and has applied.
    void skip(const stored_record& record);
    /// Forgets what has been read. The next load begins once `from` has come.
    void reset(instant from);
    /// Of a load, a call that gets no answer is followed by one that waits twice as long, up to
    /// `longest`: what many hosts load together may be more than the log can send at once.
    void wait_longer(duration longest) { longest_silence_ = longest; }

    /// Whether every key has been read once.
    bool is_loaded() const { return loaded_; }
    std::uint64_t next() const { return next_; }
    /// Up to when all that was in the stream is known: the begin of the newest load, or of
    /// the newest read that reached its end.
    instant current_at() const { return current_at_; }
    /// When the log last answered.
    instant answered_at() const { return answered_at_; }
    /// Whether the newest call went without an answer or was refused.
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
    /// Remembers whether the key is there, for the drops at the end of a load.
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
    /// The last key of the pages that have been read of a load in progress.
    std::string loaded_to_;
    /// When what has been appended since the load began was last read.
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
    /// Since when the log hasn't answered for this stream.
    instant failing_since_{};
    /// Syncs that the next read to begin will answer, and those that the present one will.
    std::vector<std::function<void(bool)>> asked_;
    std::vector<std::function<void(bool)>> being_answered_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch
