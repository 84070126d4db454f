#include "figwinch/cell/reign.h"

#include "figwinch/cell/cell_settings.h"

#include <algorithm>

namespace figwinch {
namespace {

/// The host that a life of a process ran on: "host-1" of "host-1#8842".
std::string_view node_of(const incarnation_id& life) {
    const std::string_view text = life.str();
    return text.substr(0, text.find('#'));
}

} // namespace

/// Takes in what others wrote. Returns whether the reign is vacant.
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
    // A holder of this host's name that isn't this process is the process before it, which is gone.
    const bool ours =
        current_ && current_->holder != self_ && node_of(current_->holder) == node_of(self_);
    vacant = vacant || ours;
    if (!records.empty())
        vacant_ = vacant;
    // A claim of ours whose answer was lost counts from its record.
    const bool own = current_ && current_->holder == self_ && !vacant;
    if (own && resigned_)
        give_back(records.back().offset + 1);
    else if (own && !leads_ && current_->epoch > epoch_)
        lead(current_->epoch.value() - 1, time_.now());
    return vacant;
}

/// Records don't say when they were written. Renewals are at least `retry_after` apart, so that a
/// page that ends now can't have begun later than this.
instant reign::latest_begin(const std::vector<stored_record>& records) const {
    const auto renewals = std::ranges::count_if(records, [](const stored_record& record) {
        const auto read = decode_reign(record.value.value_or(""));
        return read && read->what == reign_record::kind::renewal;
    });
    return time_.now() - times_.retry_after * static_cast<int>(renewals);
}

/// Takes in until when coordinators that were followed may have acted: the holder up to this record
/// when it resigns or is followed, else `max_unconfirmed_leadership` longer than its last record. A
/// reign that came between doesn't shorten that.
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

/// The present holder is followed. One that is known to have ended ordered nothing after its last
/// record.
void reign::count_current() {
    predecessor_ = current_;
    acted_until_ = std::max(acted_until_,
                            heard_at_ + (vacant_ ? duration::zero() : max_unconfirmed_leadership));
    prolonged_until_ =
        std::max(prolonged_until_, heard_at_ + (vacant_ ? duration::zero() : full_renewal_limit));
}

} // namespace figwinch
