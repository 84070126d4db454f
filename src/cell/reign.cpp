#include "figwinch/cell/reign.h"

#include "cell/resignation.h"
#include "figwinch/cell/cell_settings.h"

#include <algorithm>
#include <utility>

namespace figwinch {
namespace {

constexpr duration modest_look = std::chrono::milliseconds(100);
constexpr double strong_share = 0.25;
constexpr duration most_modesty = std::chrono::milliseconds(1000);

} // namespace

duration modesty_of(double cpu_share) {
    const double missing = std::clamp(1 - cpu_share / strong_share, 0.0, 1.0);
    return std::chrono::duration_cast<duration>(most_modesty * missing);
}

reign::reign(const clock& time, durable_log& log, incarnation_id self, std::string bus_address,
             const reign_times& times)
    : time_(time), log_(log), self_(std::move(self)), bus_address_(std::move(bus_address)),
      times_(times) {}

reign::~reign() = default;

bool reign::is_fresh() const {
    return leads_ && time_.now() - confirmed_at_ < fresh_reign;
}

void reign::tick() {
    const instant now = time_.now();
    // The resignation doesn't wait for `busy_`: a read of the election may be waiting for a lost
    // answer.
    if (resignation_)
        resignation_->tick();
    if (leads_ && now - confirmed_at_ > silence_limit) {
        leads_ = false;
        // A claim of another host since then has moved the stream's end, so that a claim at the
        // known end offset succeeds only if there is none.
        set_vacant(true);
    }
    if (busy_ || now < next_try_)
        return;
    if (!end_known_)
        return find_end();
    if (leads_)
        return renew();
    if (claim_now_ && standing_ && !resigned_ &&
        now - vacant_since_.value_or(now) >= times_.modesty)
        return claim();
    follow();
}

void reign::resign() {
    leads_ = false;
    resigned_ = true;
    if (current_ && current_->holder == self_)
        give_back(end_);
}

/// Starts to write the resignation after the log has shown that this host holds the term at `end`
/// although it has resigned. That may show late: a claim that was in flight when the host resigned
/// is still stored, and without a resignation the other hosts would wait for renewals that never
/// come. A resignation after another host's claim would end that host's term, so nothing is
/// appended before the log has shown this host's own claim.
void reign::give_back(std::uint64_t end) {
    if (!resignation_)
        resignation_ = std::make_unique<resignation>(time_, log_, self_, bus_address_, end);
}

void reign::abandon_resignation() {
    if (resignation_)
        resignation_->abandon();
}

void reign::yield() {
    leads_ = false;
}

void reign::find_end() {
    busy_ = true;
    log_.read(cell_stream::reigns, 0, duration::zero(),
              [this, weak = std::weak_ptr(alive_)](const read_result& read) {
                  if (weak.expired())
                      return;
                  busy_ = false;
                  log_answers_ = read.fault == log_fault::none || read.fault == log_fault::expired;
                  if (!log_answers_) {
                      next_try_ = time_.now() + times_.retry_after;
                      return;
                  }
                  const bool vacant = take_records(read.records);
                  end_known_ = true;
                  // The first page may not reach the end of the stream; the next read continues
                  // after it.
                  end_ = read.records.empty()
                             ? (read.fault == log_fault::expired ? read.first : read.end)
                             : read.records.back().offset + 1;
                  // An empty stream: there has never been a coordinator whose renewals could be
                  // missed.
                  set_vacant(vacant || read.end == 0);
              });
}

void reign::follow() {
    busy_ = true;
    // While this host delays its claim, it polls for claims of other hosts.
    const duration wait = claim_now_ ? modest_look : times_.takeover_after;
    log_.read(cell_stream::reigns, end_, wait,
              [this, weak = std::weak_ptr(alive_), asked = time_.now()](const read_result& read) {
                  if (weak.expired())
                      return;
                  busy_ = false;
                  take_read(read, time_.now() - asked >= times_.takeover_after);
              });
}

void reign::set_vacant(bool vacant) {
    claim_now_ = vacant;
    if (!vacant)
        vacant_since_.reset();
    else if (!vacant_since_)
        vacant_since_ = time_.now();
}

void reign::take_read(const read_result& read, bool waited) {
    log_answers_ = read.fault == log_fault::none || read.fault == log_fault::expired;
    if (read.fault == log_fault::expired) {
        end_ = read.first;
        return;
    }
    if (read.fault != log_fault::none) {
        next_try_ = time_.now() + times_.retry_after;
        return;
    }
    if (!read.records.empty()) {
        end_ = read.records.back().offset + 1;
        return set_vacant(take_records(read.records));
    }
    // The log answered and had no new record for the whole takeover timeout: the coordinator has
    // missed its renewals.
    set_vacant(claim_now_ || waited);
}

void reign::append(reign_record::kind what, std::function<void(const append_result&)> done) {
    append_guard guard;
    guard.at = end_;
    const std::string bytes = encode_reign({what, self_, bus_address_});
    log_.append(
        cell_stream::reigns, {{"", bytes, 0}}, guard,
        [weak = std::weak_ptr(alive_), done = std::move(done)](const append_result& result) {
            if (!weak.expired())
                done(result);
        });
}

void reign::claim() {
    busy_ = true;
    set_vacant(false);
    append(reign_record::kind::claim, [this, asked = time_.now()](const append_result& result) {
        busy_ = false;
        if (result.fault == log_fault::none) {
            end_ = result.offset + 1;
            return lead(result.offset, asked);
        }
        // Another host claimed first; the next read shows which one.
        if (result.fault == log_fault::moved)
            return;
        // The claim may have been stored or not. Claiming again is safe, since it succeeds only if
        // the stream still ends at the known offset.
        set_vacant(true);
        next_try_ = time_.now() + times_.retry_after;
    });
}

void reign::lead(std::uint64_t claimed_at, instant confirmed) {
    if (resigned_)
        return give_back(claimed_at + 1);
    // If the previous term was this process's own, its last record is its last confirmed renewal.
    if (current_ && current_->holder == self_)
        heard_at_ = std::max(heard_at_, confirmed_at_);
    // The previous term is counted already if this claim was read from the log before its answer
    // arrived.
    const lease_epoch claimed(claimed_at + 1);
    if (current_ && current_->epoch != claimed)
        count_current();
    follows_resignation_ = std::exchange(vacant_, false);
    leads_ = true;
    epoch_ = claimed;
    confirmed_at_ = confirmed;
    next_try_ = confirmed + times_.renew_every;
    current_ = {self_, bus_address_, epoch_};
}

void reign::renew() {
    busy_ = true;
    append(reign_record::kind::renewal, [this, asked = time_.now()](const append_result& result) {
        busy_ = false;
        log_answers_ = result.fault == log_fault::none || result.fault == log_fault::moved;
        if (!leads_)
            return;
        if (result.fault == log_fault::none) {
            end_ = result.offset + 1;
            confirmed_at_ = asked;
            next_try_ = asked + times_.renew_every;
            return;
        }
        if (result.fault == log_fault::moved)
            return take_moved();
        next_try_ = time_.now() + times_.retry_after;
    });
}

/// Handles a renewal that was refused because the stream's end has moved. Either an earlier renewal
/// of this host was stored and its answer lost, which continues the term, or another host has
/// claimed, which ends it.
void reign::take_moved() {
    busy_ = true;
    log_.read(cell_stream::reigns, end_, duration::zero(),
              [this, weak = std::weak_ptr(alive_)](const read_result& read) {
                  if (weak.expired())
                      return;
                  busy_ = false;
                  if (read.fault != log_fault::none || read.records.empty()) {
                      next_try_ = time_.now() + times_.retry_after;
                      return;
                  }
                  end_ = read.records.back().offset + 1;
                  for (const stored_record& record : read.records) {
                      const auto other = decode_reign(record.value.value_or(""));
                      if (other && other->holder != self_)
                          leads_ = false;
                  }
                  take_records(read.records);
              });
}

} // namespace figwinch
