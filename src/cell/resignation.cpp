#include "cell/resignation.h"

#include "figwinch/cell/reign.h"
#include "figwinch/observe.h"

#include <utility>

namespace figwinch {
namespace {

// Shorter than the store takes to be called silent: a try that got lost costs its successor this
// much, and not half a second.
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

/// A try may be lost on its way or its answer may be, which shows as no answer; then the next one
/// goes out beside it. At most one of those for the same end can be stored, since each asks the
/// stream to end there.
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
                    // Whoever has read further since has dealt with it.
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

/// What came behind the known end: an own renewal that was on its way, which moves the end; an own
/// resignation whose answer was lost; or another's claim. Behind that one a resignation would end
/// the other's reign, so nothing is tried any more.
void resignation::take(const read_result& result) {
    // The next try finds the end moved again.
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
