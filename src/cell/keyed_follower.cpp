#include "figwinch/cell/keyed_follower.h"

#include "figwinch/observe.h"

#include <algorithm>
#include <utility>

namespace figwinch {
namespace {

constexpr duration retry_period = std::chrono::milliseconds(200);
// How often a load reads appended records between its pages. The log keeps its history for longer
// than one page takes to load, but not for as long as all pages may take.
constexpr duration between_period = std::chrono::seconds(3);

} // namespace

keyed_follower::keyed_follower(const clock& time, durable_log& log, cell_stream stream,
                               follow_pace pace, std::function<void(const stored_record&)> apply)
    : time_(time), log_(log), stream_(stream), pace_(pace), apply_(std::move(apply)) {}

void keyed_follower::tick() {
    if (busy_)
        return;
    if (!asked_.empty() && loaded_)
        return read(duration::zero());
    if (time_.now() < next_read_)
        return;
    if (loaded_)
        return read(pace_.wait);
    if (loaded_to_.empty())
        begin_load();
    load();
}

void keyed_follower::begin_load() {
    first_page_ = true;
    loading_keys_.clear();
    load_began_ = time_.now();
    read_between_at_ = load_began_;
}

void keyed_follower::sync(std::function<void(bool)> done) {
    asked_.push_back(std::move(done));
    tick();
}

void keyed_follower::skip(const stored_record& record) {
    // Records appended during a load are read after its pages.
    if (!loaded_ || record.offset < next_)
        return;
    // Only without a gap: records that others have appended before this one have yet to be read.
    if (record.offset == next_)
        next_ = record.offset + 1;
    note_key(keys_, record);
}

void keyed_follower::reset(instant from) {
    // Expires the weak references of calls in flight, so that their answers are ignored.
    alive_ = std::make_shared<bool>(true);
    busy_ = false;
    loaded_ = false;
    loaded_to_.clear();
    keys_.clear();
    next_read_ = from;
    finish_syncs(false);
}

/// Reads the next page of a load. After a failure only this page is read again: a host on a slow
/// link might never read all pages of a large stream without a failure.
void keyed_follower::load() {
    busy_ = true;
    log_.newest(stream_, loaded_to_,
                [this, weak = std::weak_ptr(alive_)](const newest_result& page) {
                    if (weak.expired())
                        return;
                    busy_ = false;
                    take_page(page);
                });
}

void keyed_follower::take_page(const newest_result& page) {
    if (page.fault != log_fault::none)
        return retry_later(page.fault);
    note_answer();
    // Pages aren't a consistent snapshot: changes made while they are read are at or after the
    // first page's end offset, and are read from there.
    if (std::exchange(first_page_, false)) {
        load_end_ = page.end;
        next_ = page.end;
    }
    for (const stored_record& record : page.records) {
        loading_keys_.insert(record.key);
        apply_(record);
    }
    loaded_to_ = page.next_key;
    if (page.next_key.empty())
        return finish_load();
    if (time_.now() - read_between_at_ >= between_period)
        return read_between_pages();
    load();
}

/// Reads appended records while a long load is in progress. If they were read only after the load,
/// the log might have dropped them, and the load would have to start again.
void keyed_follower::read_between_pages() {
    busy_ = true;
    log_.read(stream_, next_, duration::zero(),
              [this, weak = std::weak_ptr(alive_)](const read_result& read) {
                  if (weak.expired())
                      return;
                  busy_ = false;
                  take_between_pages(read);
              });
}

void keyed_follower::take_between_pages(const read_result& read) {
    if (read.fault == log_fault::expired)
        loaded_to_.clear();
    if (read.fault != log_fault::none)
        return retry_later(read.fault);
    note_answer();
    for (const stored_record& record : read.records) {
        next_ = record.offset + 1;
        note_key(loading_keys_, record);
        apply_(record);
    }
    if (!read.records.empty() && next_ < read.end)
        return read_between_pages();
    read_between_at_ = time_.now();
    load();
}

void keyed_follower::finish_load() {
    log_event(
        log_level::info, "stream_loaded",
        {{"stream", std::string(to_string(stream_))},
         {"keys", static_cast<std::int64_t>(loading_keys_.size())},
         {"next", static_cast<std::int64_t>(next_)},
         {"after_ms", static_cast<std::int64_t>((time_.now() - load_began_).count() / 1000)}});
    for (const std::string& key : keys_)
        if (!loading_keys_.contains(key) && load_end_ > 0)
            apply_({key, std::nullopt, load_end_ - 1});
    keys_ = std::exchange(loading_keys_, {});
    loaded_ = true;
    set_silence(least_silence);
    current_at_ = std::max(current_at_, load_began_);
    tick();
}

void keyed_follower::read(duration wait) {
    busy_ = true;
    asked_at_ = time_.now();
    next_read_ = asked_at_ + pace_.period;
    being_answered_ = std::exchange(asked_, {});
    log_.read(stream_, next_, wait, [this, weak = std::weak_ptr(alive_)](const read_result& read) {
        if (weak.expired())
            return;
        busy_ = false;
        take(read);
    });
}

void keyed_follower::take(const read_result& read) {
    if (read.fault == log_fault::expired) {
        log_event(log_level::warn, "stream_expired",
                  {{"stream", std::string(to_string(stream_))},
                   {"next", static_cast<std::int64_t>(next_)},
                   {"first", static_cast<std::int64_t>(read.first)}});
        loaded_ = false;
        next_read_ = time_.now();
        return sync_again();
    }
    if (read.fault != log_fault::none) {
        retry_later(read.fault);
        return finish_syncs(false);
    }
    note_answer();
    for (const stored_record& record : read.records)
        take_record(record);
    const bool behind = next_ < read.end;
    // Records exist but the read returned none, because the next record exceeds the size of one
    // read: load the newest records instead.
    if (behind && read.records.empty()) {
        loaded_ = false;
        next_read_ = time_.now() + retry_period;
        return sync_again();
    }
    if (behind) {
        next_read_ = time_.now();
        sync_again();
    } else {
        current_at_ = asked_at_;
        finish_syncs(true);
    }
    if (!asked_.empty())
        tick();
}

/// Keeps the callers of `sync` waiting for another read, because one read returns only a page and
/// this one didn't reach the end of the stream. A coordinator that started its term on part of the
/// records wouldn't know the last records of its predecessor.
void keyed_follower::sync_again() {
    asked_.insert(asked_.end(), being_answered_.begin(), being_answered_.end());
    being_answered_.clear();
}

void keyed_follower::take_record(const stored_record& record) {
    // Already applied: appended by this process while the read was in flight.
    if (record.offset < next_)
        return;
    next_ = record.offset + 1;
    note_key(keys_, record);
    apply_(record);
}

void keyed_follower::note_key(absl::flat_hash_set<std::string>& keys, const stored_record& record) {
    if (record.value)
        keys.insert(record.key);
    else
        keys.erase(record.key);
}

void keyed_follower::set_silence(duration silence) {
    silence = std::clamp(silence, least_silence, longest_silence_);
    if (std::exchange(silence_, silence) != silence)
        log_.wait_for_reads(stream_, silence);
}

void keyed_follower::note_answer() {
    answered_at_ = time_.now();
    set_silence(silence_ / 2);
    if (!std::exchange(failing_, false))
        return;
    const std::int64_t after_ms = (answered_at_ - failing_since_) / std::chrono::milliseconds(1);
    log_event(log_level::info, "stream_answers",
              {{"stream", std::string(to_string(stream_))}, {"after_ms", after_ms}});
}

void keyed_follower::retry_later(log_fault fault) {
    if (!std::exchange(failing_, true)) {
        failing_since_ = time_.now();
        log_event(log_level::warn, "stream_unanswered",
                  {{"stream", std::string(to_string(stream_))},
                   {"fault", std::string(to_string(fault))},
                   {"loaded", loaded_},
                   {"next", static_cast<std::int64_t>(next_)}});
    }
    if (fault == log_fault::silent && !loaded_)
        set_silence(silence_ * 2);
    next_read_ = time_.now() + retry_period;
    if (!loaded_)
        finish_syncs(false);
}

void keyed_follower::finish_syncs(bool good) {
    std::vector<std::function<void(bool)>> done = std::exchange(being_answered_, {});
    if (!loaded_)
        for (auto& asked : std::exchange(asked_, {}))
            done.push_back(std::move(asked));
    for (const auto& call : done)
        call(good);
}

} // namespace figwinch
