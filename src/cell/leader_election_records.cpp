#include "figwinch/cell/leader_election.h"

#include "figwinch/cell/cell_settings.h"

#include <algorithm>

namespace figwinch {
namespace {

/// The host of a process incarnation: "host-1" of "host-1#8842".
std::string_view host_of(const incarnation_id& incarnation) {
    const std::string_view text = incarnation.str();
    return text.substr(0, text.find('#'));
}

} // namespace

/// Applies records of the election stream. Returns whether they show that there is no coordinator.
bool leader_election::apply_records(const std::vector<stored_record>& records) {
    bool vacant = false;
    instant written_by = latest_start_time(records);
    if (history_lost_at_ && !records.empty())
        count_unread_terms(std::min(written_by, *history_lost_at_));
    for (const stored_record& record : records) {
        const auto read = decode_election_record(record.value.value_or(""));
        if (!read)
            continue;
        if (read->type == election_record::kind::renewal)
            written_by += timing_.retry_delay;
        update_predecessor_limits(*read, written_by);
        vacant = read->type == election_record::kind::resignation;
        if (vacant) {
            current_leader_.reset();
            continue;
        }
        if (!current_leader_ || current_leader_->holder != read->holder ||
            read->type == election_record::kind::claim)
            current_leader_ = {read->holder, read->bus_address, lease_epoch(record.offset + 1)};
    }
    // Another incarnation of this host's process has ended, since this one runs.
    const bool previous_incarnation = current_leader_ && current_leader_->holder != self_ &&
                                      host_of(current_leader_->holder) == host_of(self_);
    vacant = vacant || previous_incarnation;
    if (!records.empty())
        leader_has_ended_ = vacant;
    // This host's own claim, whose answer was lost: the term begins with the record.
    const bool own = current_leader_ && current_leader_->holder == self_ && !vacant;
    if (own && resigned_)
        start_resignation(records.back().offset + 1);
    else if (own && !is_leader_ && current_leader_->epoch > epoch_)
        become_leader(current_leader_->epoch.value() - 1, time_.now());
    return vacant;
}

/// The latest time at which the first of these records can have been written. Records carry no
/// time, but renewals are at least one retry delay apart and all were written before now.
instant leader_election::latest_start_time(const std::vector<stored_record>& records) const {
    const auto renewals = std::ranges::count_if(records, [](const stored_record& record) {
        const auto read = decode_election_record(record.value.value_or(""));
        return read && read->type == election_record::kind::renewal;
    });
    return time_.now() - timing_.retry_delay * static_cast<int>(renewals);
}

/// Updates the times until which predecessors may have acted. A coordinator acts until its
/// resignation, or up to `max_unconfirmed_leadership` after its last record if another host claims
/// without one. A short term in between doesn't shorten that time.
void leader_election::update_predecessor_limits(const election_record& record, instant written_by) {
    const bool resigned = record.type == election_record::kind::resignation;
    if (resigned)
        last_resignation_ = resigned_term{record.outstanding, written_by};
    else if (record.holder != self_)
        last_resignation_.reset();
    if (record.type == election_record::kind::claim && current_leader_)
        retire_current_leader();
    if (record.type != election_record::kind::renewal)
        may_lack_terms_ = false;
    if (resigned) {
        predecessor_.reset();
        acted_until_ = std::max(acted_until_, written_by);
        leases_renewed_until_ = std::max(leases_renewed_until_, written_by);
    }
    leader_has_ended_ = resigned;
    last_record_at_ = written_by;
}

/// The log has discarded records that this host has not read: there may be a coordinator that it
/// does not know, and the one that it knows may have been followed.
void leader_election::handle_lost_history() {
    history_lost_at_ = time_.now();
    may_lack_terms_ = true;
    last_resignation_.reset();
}

/// Reckons with coordinators of which no record was read: they may have renewed their term up to
/// `written_by`.
void leader_election::count_unread_terms(instant written_by) {
    history_lost_at_.reset();
    acted_until_ = std::max(acted_until_, written_by + max_unconfirmed_leadership);
    leases_renewed_until_ = std::max(leases_renewed_until_, written_by + full_renewal_limit);
}

/// Makes the current coordinator a predecessor. One that is known to have ended sent no orders
/// after its last record; any other may have acted for `max_unconfirmed_leadership` longer. If
/// terms are unread, it need not be the last one, and its account of its orders bounds no others.
void leader_election::retire_current_leader() {
    predecessor_ = may_lack_terms_ ? std::nullopt : current_leader_;
    // A host does not read its own renewals.
    if (current_leader_->holder == self_)
        last_record_at_ = std::max(last_record_at_, confirmed_at_);
    acted_until_ =
        std::max(acted_until_, last_record_at_ + (leader_has_ended_ ? duration::zero()
                                                                    : max_unconfirmed_leadership));
    leases_renewed_until_ =
        std::max(leases_renewed_until_,
                 last_record_at_ + (leader_has_ended_ ? duration::zero() : full_renewal_limit));
}

} // namespace figwinch
