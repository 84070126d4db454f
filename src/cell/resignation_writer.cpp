#include "cell/resignation_writer.h"

#include "figwinch/cell/leader_election.h"
#include "figwinch/observe.h"

#include <utility>

namespace figwinch {
namespace {

// Shorter than the timeout of an append, about half a second: a lost attempt delays the successor
// by this time only.
constexpr duration retry_period = election_timing{}.retry_delay;

std::int64_t to_ms(duration span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace

resignation_writer::resignation_writer(const clock& time, durable_log& log,
                                       const election_record& resignation, std::uint64_t end)
    : time_(time), log_(log), resignation_(resignation), end_offset_(end), started_at_(time.now()) {
    send();
}

void resignation_writer::tick() {
    if (!settled_ && time_.now() >= next_attempt_at_)
        send();
}

/// Sends one attempt. If an attempt or its answer is lost, the next one is sent while the first is
/// still in flight. At most one attempt for the same end offset can be stored, since each is
/// conditional on that offset.
void resignation_writer::send() {
    ++attempts_;
    next_attempt_at_ = time_.now() + retry_period;
    append_guard guard;
    guard.expected_end = end_offset_;
    log_.append(
        cell_stream::reigns, {{"", encode_election_record(resignation_), 0}}, guard,
        [this, weak = std::weak_ptr(alive_), at = end_offset_](const append_result& result) {
            if (weak.expired() || settled_)
                return;
            if (result.fault == log_fault::none)
                return settle_stored();
            if (result.fault == log_fault::rejected)
                return drop_account();
            // If the end offset has changed since this attempt, newer records have been
            // read already.
            if (result.fault == log_fault::moved && at == end_offset_)
                read_newer_records();
        });
}

void resignation_writer::read_newer_records() {
    log_.read(cell_stream::reigns, end_offset_, duration::zero(),
              [this, weak = std::weak_ptr(alive_), from = end_offset_](const read_result& result) {
                  if (!weak.expired() && !settled_ && from == end_offset_)
                      handle_read(result);
              });
}

/// Handles the records after the known end offset: a renewal of this host that was in flight moves
/// the end; a resignation of this host was stored and its answer lost; or another host has claimed.
/// After another host's claim a resignation would end that host's term, so no further attempt is
/// made.
void resignation_writer::handle_read(const read_result& result) {
    // The next attempt fails with a moved end again, and reads again.
    if (result.fault != log_fault::none || result.records.empty())
        return;
    for (const stored_record& record : result.records) {
        const auto read = decode_election_record(record.value.value_or(""));
        if (!read)
            continue;
        if (read->holder != resignation_.holder)
            return settle_unconfirmed("followed");
        if (read->type == election_record::kind::resignation)
            return settle_stored();
    }
    end_offset_ = result.records.back().offset + 1;
    send();
}

/// The log doesn't take the record with the account. A resignation without one costs a successor a
/// wait for workers; no resignation costs callers the time until renewals are missed.
void resignation_writer::drop_account() {
    if (resignation_.outstanding.empty())
        return;
    log_event(log_level::error, "resignation_account_dropped",
              {{"bytes", static_cast<std::int64_t>(resignation_.outstanding.size())}});
    resignation_.outstanding.clear();
    send();
}

void resignation_writer::settle_stored() {
    settled_ = true;
    log_event(log_level::info, "resignation_stored",
              {{"after_ms", to_ms(time_.now() - started_at_)}, {"tries", attempts_}});
}

void resignation_writer::settle_unconfirmed(std::string_view why) {
    settled_ = true;
    log_event(log_level::warn, "resignation_unconfirmed",
              {{"why", std::string(why)},
               {"after_ms", to_ms(time_.now() - started_at_)},
               {"tries", attempts_}});
}

void resignation_writer::abandon() {
    if (!settled_)
        settle_unconfirmed("stopped");
}

} // namespace figwinch
