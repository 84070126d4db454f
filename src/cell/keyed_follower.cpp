#include "figwinch/cell/keyed_follower.h"

#include "figwinch/observe.h"

#include <algorithm>
#include <utility>

namespace figwinch {
namespace {

constexpr duration retry_period = std::chrono::milliseconds(200);
// How often a load reads appended records between its pages. The log keeps its history for longer
// than one page takes to load, but not for as long as all pages may take.
constexpr duration tail_read_period = std::chrono::seconds(3);

} // namespace

keyed_follower::keyed_follower(const clock& time, durable_log& log, cell_stream stream,
                               follow_options pace, std::function<void(const stored_record&)> apply)
    : time_(time), log_(log), stream_(stream), options_(pace), apply_(std::move(apply)) {}

void keyed_follower::tick() {
    if (call_in_flight_)
        return;
    if (!queued_syncs_.empty() && loaded_)
        return read(duration::zero());
    if (time_.now() < next_read_at_)
        return;
    if (loaded_)
        return read(options_.wait);
    if (load_cursor_.empty())
        begin_load();
    load();
}

void keyed_follower::begin_load() {
    first_page_ = true;
    loading_keys_.clear();
    load_started_at_ = time_.now();
    tail_read_at_ = load_started_at_;
}

void keyed_follower::sync(std::function<void(bool)> done) {
    queued_syncs_.push_back(std::move(done));
    tick();
}

void keyed_follower::on_own_append(const stored_record& record) {
    // Records appended during a load are read after its pages.
    if (!loaded_ || record.offset < next_offset_)
        return;
    // Only without a gap: records that others have appended before this one have yet to be read.
    if (record.offset == next_offset_)
        next_offset_ = record.offset + 1;
    update_keys(keys_, record);
}

void keyed_follower::reset(instant from) {
    // Expires the weak references of calls in flight, so that their answers are ignored.
    alive_ = std::make_shared<bool>(true);
    call_in_flight_ = false;
    loaded_ = false;
    load_cursor_.clear();
    keys_.clear();
    next_read_at_ = from;
    finish_syncs(false);
}

/// Reads the next page of a load. After a failure only this page is read again: a host on a slow
/// link might never read all pages of a large stream without a failure.
void keyed_follower::load() {
    call_in_flight_ = true;
    log_.read_newest(stream_, load_cursor_,
                     [this, weak = std::weak_ptr(alive_)](const newest_result& page) {
                         if (weak.expired())
                             return;
                         call_in_flight_ = false;
                         apply_page(page);
                     });
}

void keyed_follower::apply_page(const newest_result& page) {
    if (page.fault != log_fault::none)
        return retry_later(page.fault);
    on_answer();
    // Pages aren't a consistent snapshot: changes made while they are read are at or after the
    // first page's end offset, and are read from there.
    if (std::exchange(first_page_, false)) {
        load_end_offset_ = page.end_offset;
        next_offset_ = page.end_offset;
    }
    for (const stored_record& record : page.records) {
        loading_keys_.insert(record.key);
        apply_(record);
    }
    load_cursor_ = page.next_key;
    if (page.next_key.empty())
        return finish_load();
    if (time_.now() - tail_read_at_ >= tail_read_period)
        return read_tail_during_load();
    load();
}

/// Reads appended records while a long load is in progress. If they were read only after the load,
/// the log might have dropped them, and the load would have to start again.
void keyed_follower::read_tail_during_load() {
    call_in_flight_ = true;
    log_.read(stream_, next_offset_, duration::zero(),
              [this, weak = std::weak_ptr(alive_)](const read_result& read) {
                  if (weak.expired())
                      return;
                  call_in_flight_ = false;
                  apply_tail_during_load(read);
              });
}

void keyed_follower::apply_tail_during_load(const read_result& read) {
    if (read.fault == log_fault::expired)
        load_cursor_.clear();
    if (read.fault != log_fault::none)
        return retry_later(read.fault);
    on_answer();
    for (const stored_record& record : read.records) {
        next_offset_ = record.offset + 1;
        update_keys(loading_keys_, record);
        apply_(record);
    }
    if (!read.records.empty() && next_offset_ < read.end_offset)
        return read_tail_during_load();
    tail_read_at_ = time_.now();
    load();
}

void keyed_follower::finish_load() {
    log_event(
        log_level::info, "stream_loaded",
        {{"stream", std::string(to_string(stream_))},
         {"keys", static_cast<std::int64_t>(loading_keys_.size())},
         {"next", static_cast<std::int64_t>(next_offset_)},
         {"after_ms", static_cast<std::int64_t>((time_.now() - load_started_at_).count() / 1000)}});
    for (const std::string& key : keys_)
        if (!loading_keys_.contains(key) && load_end_offset_ > 0)
            apply_({key, std::nullopt, load_end_offset_ - 1});
    keys_ = std::exchange(loading_keys_, {});
    loaded_ = true;
    update_read_timeout(min_read_timeout);
    current_as_of_ = std::max(current_as_of_, load_started_at_);
    tick();
}

void keyed_follower::read(duration wait) {
    call_in_flight_ = true;
    read_started_at_ = time_.now();
    next_read_at_ = read_started_at_ + options_.min_period;
    syncs_in_flight_ = std::exchange(queued_syncs_, {});
    log_.read(stream_, next_offset_, wait,
              [this, weak = std::weak_ptr(alive_)](const read_result& read) {
                  if (weak.expired())
                      return;
                  call_in_flight_ = false;
                  apply_read(read);
              });
}

void keyed_follower::apply_read(const read_result& read) {
    if (read.fault == log_fault::expired) {
        log_event(log_level::warn, "stream_expired",
                  {{"stream", std::string(to_string(stream_))},
                   {"next", static_cast<std::int64_t>(next_offset_)},
                   {"first", static_cast<std::int64_t>(read.start_offset)}});
        loaded_ = false;
        next_read_at_ = time_.now();
        return requeue_syncs();
    }
    if (read.fault != log_fault::none) {
        retry_later(read.fault);
        return finish_syncs(false);
    }
    on_answer();
    for (const stored_record& record : read.records)
        apply_record(record);
    const bool behind = next_offset_ < read.end_offset;
    // Records exist but the read returned none, because the next record exceeds the size of one
    // read: load the newest records instead.
    if (behind && read.records.empty()) {
        loaded_ = false;
        next_read_at_ = time_.now() + retry_period;
        return requeue_syncs();
    }
    if (behind) {
        next_read_at_ = time_.now();
        requeue_syncs();
    } else {
        current_as_of_ = read_started_at_;
        finish_syncs(true);
    }
    if (!queued_syncs_.empty())
        tick();
}

/// Keeps the callers of `sync` waiting for another read, because one read returns only a page and
/// this one didn't reach the end of the stream. A coordinator that started its term on part of the
/// records wouldn't know the last records of its predecessor.
void keyed_follower::requeue_syncs() {
    queued_syncs_.insert(queued_syncs_.end(), syncs_in_flight_.begin(), syncs_in_flight_.end());
    syncs_in_flight_.clear();
}

void keyed_follower::apply_record(const stored_record& record) {
    // Already applied: appended by this process while the read was in flight.
    if (record.offset < next_offset_)
        return;
    next_offset_ = record.offset + 1;
    update_keys(keys_, record);
    apply_(record);
}

void keyed_follower::update_keys(absl::flat_hash_set<std::string>& keys,
                                 const stored_record& record) {
    if (record.value)
        keys.insert(record.key);
    else
        keys.erase(record.key);
}

void keyed_follower::update_read_timeout(duration timeout) {
    timeout = std::clamp(timeout, min_read_timeout, max_read_timeout_);
    if (std::exchange(read_timeout_, timeout) != timeout)
        log_.set_read_timeout(stream_, timeout);
}

void keyed_follower::on_answer() {
    answered_at_ = time_.now();
    update_read_timeout(read_timeout_ / 2);
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
                   {"next", static_cast<std::int64_t>(next_offset_)}});
    }
    if (fault == log_fault::silent && !loaded_)
        update_read_timeout(read_timeout_ * 2);
    next_read_at_ = time_.now() + retry_period;
    if (!loaded_)
        finish_syncs(false);
}

void keyed_follower::finish_syncs(bool succeeded) {
    std::vector<std::function<void(bool)>> done = std::exchange(syncs_in_flight_, {});
    if (!loaded_)
        for (auto& asked : std::exchange(queued_syncs_, {}))
            done.push_back(std::move(asked));
    for (const auto& call : done)
        call(succeeded);
}

} // namespace figwinch
