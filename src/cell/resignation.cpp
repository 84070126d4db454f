#include "cell/resignation.h"

#include "figwinch/cell/reign.h"
#include "figwinch/observe.h"

#include <utility>

namespace figwinch {
namespace {

// Shorter than the timeout of an append, about half a second: a lost attempt delays the successor
// by this time only.
constexpr duration retry_period = reign_times{}.retry_after;

std::int64_t millis_of(duration span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace

resignation::resignation(const clock& time, durable_log& log, const incarnation_id& holder,
                         const std::string& bus_address, std::uint64_t end)
    : time_(time), log_(log), holder_(holder),
      bytes_(encode_reign({reign_record::kind::resignation, holder, bus_address})), end_(end),
      begun_(time.now()) {
    send();
}

void resignation::tick() {
    if (!settled_ && time_.now() >= next_try_)
        send();
}

/// Sends one attempt. If an attempt or its answer is lost, the next one is sent while the first is
/// still in flight. At most one attempt for the same end offset can be stored, since each is
/// conditional on that offset.
void resignation::send() {
    ++tries_;
    next_try_ = time_.now() + retry_period;
    append_guard guard;
    guard.at = end_;
    log_.append(cell_stream::reigns, {{"", bytes_, 0}}, guard,
                [this, weak = std::weak_ptr(alive_), at = end_](const append_result& result) {
                    if (weak.expired() || settled_)
                        return;
                    if (result.fault == log_fault::none)
                        return settle_stored();
                    // If the end offset has changed since this attempt, newer records have been
                    // read already.
                    if (result.fault == log_fault::moved && at == end_)
                        look();
                });
}

void resignation::look() {
    log_.read(cell_stream::reigns, end_, duration::zero(),
              [this, weak = std::weak_ptr(alive_), from = end_](const read_result& result) {
                  if (!weak.expired() && !settled_ && from == end_)
                      take(result);
              });
}

/// Handles the records after the known end offset: a renewal of this host that was in flight moves
/// the end; a resignation of this host was stored and its answer lost; or another host has claimed.
/// After another host's claim a resignation would end that host's term, so no further attempt is
/// made.
void resignation::take(const read_result& result) {
    // The next attempt fails with a moved end again, and reads again.
    if (result.fault != log_fault::none || result.records.empty())
        return;
    for (const stored_record& record : result.records) {
        const auto read = decode_reign(record.value.value_or(""));
        if (!read)
            continue;
        if (read->holder != holder_)
            return settle_unconfirmed("followed");
        if (read->what == reign_record::kind::resignation)
            return settle_stored();
    }
    end_ = result.records.back().offset + 1;
    send();
}

void resignation::settle_stored() {
    settled_ = true;
    log_event(log_level::info, "resignation_stored",
              {{"after_ms", millis_of(time_.now() - begun_)}, {"tries", tries_}});
}

void resignation::settle_unconfirmed(std::string_view why) {
    settled_ = true;
    log_event(log_level::warn, "resignation_unconfirmed",
              {{"why", std::string(why)},
               {"after_ms", millis_of(time_.now() - begun_)},
               {"tries", tries_}});
}

void resignation::abandon() {
    if (!settled_)
        settle_unconfirmed("stopped");
}

} // namespace figwinch
