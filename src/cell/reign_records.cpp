#include "figwinch/cell/reign.h"

#include "figwinch/cell/cell_settings.h"

#include <algorithm>

namespace figwinch {
namespace {

/// The host of a process incarnation: "host-1" of "host-1#8842".
std::string_view node_of(const incarnation_id& life) {
    const std::string_view text = life.str();
    return text.substr(0, text.find('#'));
}

} // namespace

/// Applies records of the election stream. Returns whether they show that there is no coordinator.
bool reign::take_records(const std::vector<stored_record>& records) {
    bool vacant = false;
    instant written_by = latest_begin(records);
    for (const stored_record& record : records) {
        const auto read = decode_reign(record.value.value_or(""));
        if (!read)
            continue;
        if (read->what == reign_record::kind::renewal)
            written_by += times_.retry_after;
        note_end_of(*read, written_by);
        vacant = read->what == reign_record::kind::resignation;
        if (vacant) {
            current_.reset();
            continue;
        }
        if (!current_ || current_->holder != read->holder ||
            read->what == reign_record::kind::claim)
            current_ = {read->holder, read->bus_address, lease_epoch(record.offset + 1)};
    }
    // Another incarnation of this host's process has ended, since this one runs.
    const bool ours =
        current_ && current_->holder != self_ && node_of(current_->holder) == node_of(self_);
    vacant = vacant || ours;
    if (!records.empty())
        vacant_ = vacant;
    // This host's own claim, whose answer was lost: the term begins with the record.
    const bool own = current_ && current_->holder == self_ && !vacant;
    if (own && resigned_)
        give_back(records.back().offset + 1);
    else if (own && !leads_ && current_->epoch > epoch_)
        lead(current_->epoch.value() - 1, time_.now());
    return vacant;
}

/// The latest time at which the first of these records can have been written. Records carry no
/// time, but renewals are at least one retry delay apart and all were written before now.
instant reign::latest_begin(const std::vector<stored_record>& records) const {
    const auto renewals = std::ranges::count_if(records, [](const stored_record& record) {
        const auto read = decode_reign(record.value.value_or(""));
        return read && read->what == reign_record::kind::renewal;
    });
    return time_.now() - times_.retry_after * static_cast<int>(renewals);
}

/// Updates the times until which predecessors may have acted. A coordinator acts until its
/// resignation, or up to `silence_limit` after its last record if another host claims without one.
/// A short term in between doesn't shorten that time.
void reign::note_end_of(const reign_record& record, instant written_by) {
    const bool resigned = record.what == reign_record::kind::resignation;
    if (record.what == reign_record::kind::claim && current_)
        count_current();
    if (resigned) {
        predecessor_.reset();
        acted_until_ = std::max(acted_until_, written_by);
        prolonged_until_ = std::max(prolonged_until_, written_by);
    }
    vacant_ = resigned;
    heard_at_ = written_by;
}

/// Makes the current coordinator a predecessor. One that is known to have ended sent no orders
/// after its last record; any other may have acted for `silence_limit` longer.
void reign::count_current() {
    predecessor_ = current_;
    acted_until_ = std::max(acted_until_, heard_at_ + (vacant_ ? duration::zero() : silence_limit));
    prolonged_until_ =
        std::max(prolonged_until_, heard_at_ + (vacant_ ? duration::zero() : prolonging_limit));
}

} // namespace figwinch
