#include "figwinch/cell/leader_election.h"

#include "cell/resignation_writer.h"
#include "figwinch/cell/cell_settings.h"

#include <algorithm>
#include <utility>

namespace figwinch {
namespace {

constexpr duration claim_poll_wait = std::chrono::milliseconds(100);
constexpr double min_undelayed_cpu_share = 0.25;
constexpr duration max_claim_delay = std::chrono::milliseconds(1000);

} // namespace

duration claim_delay_for(double cpu_share) {
    const double missing = std::clamp(1 - cpu_share / min_undelayed_cpu_share, 0.0, 1.0);
    return std::chrono::duration_cast<duration>(max_claim_delay * missing);
}

leader_election::leader_election(const clock& time, durable_log& log, incarnation_id self,
                                 std::string bus_address, const election_timing& times)
    : time_(time), log_(log), self_(std::move(self)), bus_address_(std::move(bus_address)),
      timing_(times) {}

leader_election::~leader_election() = default;

bool leader_election::is_confirmed() const {
    return is_leader_ && time_.now() - confirmed_at_ < max_confirmation_age;
}

void leader_election::tick() {
    const instant now = time_.now();
    // The resignation doesn't wait for `call_in_flight_`: a read of the election may be waiting for
    // a lost answer.
    if (resignation_)
        resignation_->tick();
    if (is_leader_ && now - confirmed_at_ > max_unconfirmed_leadership) {
        is_leader_ = false;
        // A claim of another host since then has moved the stream's end, so that a claim at the
        // known end offset succeeds only if there is none.
        set_vacant(true);
    }
    if (call_in_flight_ || now < next_call_at_)
        return;
    if (!end_offset_known_)
        return read_first_page();
    if (is_leader_)
        return renew();
    if (leadership_vacant_ && is_candidate_ && !resigned_ &&
        now - vacant_since_.value_or(now) >= timing_.claim_delay)
        return claim();
    follow();
}

void leader_election::resign(std::string outstanding) {
    is_leader_ = false;
    resigned_ = true;
    own_outstanding_ = std::move(outstanding);
    if (current_leader_ && current_leader_->holder == self_)
        start_resignation(end_offset_);
}

/// Starts to write the resignation after the log has shown that this host holds the term at `end`
/// although it has resigned. That may show late: a claim that was in flight when the host resigned
/// is still stored, and without a resignation the other hosts would wait for renewals that never
/// come. A resignation after another host's claim would end that host's term, so nothing is
/// appended before the log has shown this host's own claim.
void leader_election::start_resignation(std::uint64_t end) {
    if (!resignation_)
        resignation_ = std::make_unique<resignation_writer>(
            time_, log_,
            election_record{election_record::kind::resignation, self_, bus_address_,
                            own_outstanding_},
            end);
}

void leader_election::abandon_resignation() {
    if (resignation_)
        resignation_->abandon();
}

void leader_election::step_down() {
    is_leader_ = false;
}

void leader_election::read_first_page() {
    call_in_flight_ = true;
    log_.read(cell_stream::reigns, 0, duration::zero(),
              [this, weak = std::weak_ptr(alive_)](const read_result& read) {
                  if (weak.expired())
                      return;
                  call_in_flight_ = false;
                  log_answers_ = read.fault == log_fault::none || read.fault == log_fault::expired;
                  if (!log_answers_) {
                      next_call_at_ = time_.now() + timing_.retry_delay;
                      return;
                  }
                  const bool vacant = apply_records(read.records);
                  end_offset_known_ = true;
                  if (read.fault == log_fault::expired)
                      handle_lost_history();
                  // The first page may not reach the end of the stream; the next read continues
                  // after it.
                  end_offset_ =
                      read.records.empty()
                          ? (read.fault == log_fault::expired ? read.start_offset : read.end_offset)
                          : read.records.back().offset + 1;
                  // An empty stream: there has never been a coordinator whose renewals could be
                  // missed.
                  set_vacant(vacant || (read.fault == log_fault::none && read.end_offset == 0));
              });
}

void leader_election::follow() {
    call_in_flight_ = true;
    // While this host delays its claim, it polls for claims of other hosts.
    const duration wait = leadership_vacant_ ? claim_poll_wait : timing_.takeover_timeout;
    log_.read(cell_stream::reigns, end_offset_, wait,
              [this, weak = std::weak_ptr(alive_), sent_at = time_.now()](const read_result& read) {
                  if (weak.expired())
                      return;
                  call_in_flight_ = false;
                  apply_read(read, time_.now() - sent_at >= timing_.takeover_timeout);
              });
}

void leader_election::set_vacant(bool vacant) {
    leadership_vacant_ = vacant;
    if (!vacant)
        vacant_since_.reset();
    else if (!vacant_since_)
        vacant_since_ = time_.now();
}

void leader_election::apply_read(const read_result& read, bool waited) {
    log_answers_ = read.fault == log_fault::none || read.fault == log_fault::expired;
    if (read.fault == log_fault::expired) {
        end_offset_ = read.start_offset;
        return handle_lost_history();
    }
    if (read.fault != log_fault::none) {
        next_call_at_ = time_.now() + timing_.retry_delay;
        return;
    }
    if (!read.records.empty()) {
        end_offset_ = read.records.back().offset + 1;
        return set_vacant(apply_records(read.records));
    }
    // The log answered and had no new record for the whole takeover timeout: the coordinator has
    // missed its renewals.
    set_vacant(leadership_vacant_ || waited);
}

void leader_election::append(election_record::kind what,
                             std::function<void(const append_result&)> done) {
    append_guard guard;
    guard.expected_end = end_offset_;
    const std::string bytes = encode_election_record({what, self_, bus_address_});
    log_.append(
        cell_stream::reigns, {{"", bytes, 0}}, guard,
        [weak = std::weak_ptr(alive_), done = std::move(done)](const append_result& result) {
            if (!weak.expired())
                done(result);
        });
}

void leader_election::claim() {
    call_in_flight_ = true;
    set_vacant(false);
    append(election_record::kind::claim,
           [this, sent_at = time_.now()](const append_result& result) {
               call_in_flight_ = false;
               if (result.fault == log_fault::none) {
                   end_offset_ = result.offset + 1;
                   return become_leader(result.offset, sent_at);
               }
               // Another host claimed first; the next read shows which one.
               if (result.fault == log_fault::moved)
                   return;
               // The claim may have been stored or not. Claiming again is safe, since it succeeds
               // only if the stream still ends at the known offset.
               set_vacant(true);
               next_call_at_ = time_.now() + timing_.retry_delay;
           });
}

void leader_election::become_leader(std::uint64_t claimed_at, instant confirmed) {
    if (resigned_)
        return start_resignation(claimed_at + 1);
    // The previous term is counted already if this claim was read from the log before its answer
    // arrived.
    const lease_epoch claimed(claimed_at + 1);
    if (history_lost_at_)
        count_unread_terms(*history_lost_at_);
    if (current_leader_ && current_leader_->epoch != claimed)
        retire_current_leader();
    may_lack_terms_ = false;
    resigned_predecessor_ = std::exchange(last_resignation_, std::nullopt);
    predecessor_has_ended_ = std::exchange(leader_has_ended_, false);
    is_leader_ = true;
    epoch_ = claimed;
    confirmed_at_ = confirmed;
    next_call_at_ = confirmed + timing_.renewal_interval;
    current_leader_ = {self_, bus_address_, epoch_};
}

void leader_election::renew() {
    call_in_flight_ = true;
    append(election_record::kind::renewal,
           [this, sent_at = time_.now()](const append_result& result) {
               call_in_flight_ = false;
               log_answers_ = result.fault == log_fault::none || result.fault == log_fault::moved;
               if (!is_leader_)
                   return;
               if (result.fault == log_fault::none) {
                   end_offset_ = result.offset + 1;
                   confirmed_at_ = sent_at;
                   next_call_at_ = sent_at + timing_.renewal_interval;
                   return;
               }
               if (result.fault == log_fault::moved)
                   return handle_moved_end();
               next_call_at_ = time_.now() + timing_.retry_delay;
           });
}

/// Handles a renewal that was refused because the stream's end has moved. Either an earlier renewal
/// of this host was stored and its answer lost, which continues the term, or another host has
/// claimed, which ends it.
void leader_election::handle_moved_end() {
    call_in_flight_ = true;
    log_.read(cell_stream::reigns, end_offset_, duration::zero(),
              [this, weak = std::weak_ptr(alive_)](const read_result& read) {
                  if (weak.expired())
                      return;
                  call_in_flight_ = false;
                  if (read.fault != log_fault::none || read.records.empty()) {
                      next_call_at_ = time_.now() + timing_.retry_delay;
                      return;
                  }
                  end_offset_ = read.records.back().offset + 1;
                  for (const stored_record& record : read.records) {
                      const auto other = decode_election_record(record.value.value_or(""));
                      if (other && other->holder != self_)
                          is_leader_ = false;
                  }
                  apply_records(read.records);
              });
}

} // namespace figwinch
