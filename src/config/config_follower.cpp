#include "figwinch/config/config_follower.h"

#include "figwinch/log/log_truncation.h"

#include <algorithm>

namespace figwinch {
namespace {

const stream_name config_stream("config");

} // namespace

config_follower::config_follower(log_client& log, const clock& time,
                                 config_follower_settings settings, state_fetcher fetch)
    : log_(log), time_(time), settings_(std::move(settings)), fetch_(std::move(fetch)),
      evidence_(settings_.freshness),
      schedule_(settings_.self, settings_.retention, settings_.snapshot_every) {}

void config_follower::tick(instant now) {
    // Guards against a port that never calls back: its late answer is recognised by its number.
    const duration latest_read = settings_.timeout + longest_log_answer + settings_.poll_period;
    if (read_open_ && now - read_sent_ >= latest_read)
        read_open_ = false;
    if (fetch_open_ && now - fetch_sent_ >= settings_.timeout + settings_.poll_period)
        fetch_open_ = false;
    if (!read_open_ && (read_at_once_ || now - read_sent_ >= settings_.poll_period))
        send_read(now);
    if (state_ == recovery_state::following && evidence_.judge(now) == freshness::confirmed &&
        schedule_.is_due(fold_.offset(), now))
        append_snapshot(now);
}

freshness config_follower::judge(instant now) const {
    // Guards against a log replica that lags while a peer has already seen a newer version: the
    // read looks like the tail, and the newer version may be a drain.
    if (heard_ > fold_.version())
        return freshness::unknown;
    return evidence_.judge(now);
}

std::optional<duration> config_follower::age(instant now) const {
    if (!evidence_.ever_confirmed())
        return std::nullopt;
    return now - evidence_.confirmed_at();
}

std::string config_follower::lacks() const {
    switch (state_) {
    case recovery_state::following:
        return "";
    case recovery_state::waiting_for_state:
        return "the log keeps no usable snapshot and no peer has handed the state over";
    case recovery_state::reading:
        break;
    }
    return last_error_ == result_code::ok
               ? "the tail of the config stream"
               : "an answer of the log (" + std::string(info(last_error_).name) + ")";
}

void config_follower::send_read(instant now) {
    read_open_ = true;
    read_at_once_ = false;
    read_sent_ = now;
    const std::uint64_t mine = ++read_number_;
    log_.read(config_stream, next_read(), settings_.page_records,
              [this, mine, now,
               alive = std::weak_ptr<bool>(alive_)](const absl::StatusOr<log_page>& page) {
                  if (alive.expired() || mine != read_number_ || !read_open_)
                      return;
                  read_open_ = false;
                  take_page(page, now);
              });
}

void config_follower::take_page(const absl::StatusOr<log_page>& page, instant sent_at) {
    if (!page.ok()) {
        take_error(page.status(), sent_at);
        return;
    }
    last_error_ = result_code::ok;
    if (scan_from_.is_none())
        fold_page(*page, sent_at);
    else
        scan_page(*page);
}

void config_follower::take_error(const absl::Status& error, instant sent_at) {
    last_error_ = code_of(error);
    if (last_error_ == result_code::log_unavailable)
        evidence_.note_unavailable(sent_at);
    if (last_error_ != result_code::log_truncated)
        return;
    // This process was down or frozen for longer than the log keeps records: what is missing may
    // hold a drain, so that only a snapshot or a peer's state can bridge it.
    state_ = recovery_state::reading;
    scan_from_ = first_kept_of(error);
    read_at_once_ = true;
}

void config_follower::fold_page(const log_page& page, instant sent_at) {
    const config_version before = fold_.version();
    for (const log_record& record : page.records)
        fold_record(record);
    const log_offset next = fold_.offset().next();
    // A page that ends before this state comes from a log replica that lags and proves nothing.
    if (page.next == next) {
        evidence_.note_confirmed(sent_at);
        state_ = recovery_state::following;
    }
    read_at_once_ = page.next > next && !page.records.empty();
    announce(before);
}

void config_follower::fold_record(const log_record& record) {
    const fold_outcome outcome = fold_.fold(record.offset, record.payload);
    if (outcome.result == fold_result::ignored)
        return;
    const bool is_base = outcome.result == fold_result::snapshot || record.offset == log_offset(1);
    if (is_base) {
        const auto age =
            std::chrono::duration_cast<duration>(time_.wall_now() - outcome.written_at);
        schedule_.note_base(record.offset, age, time_.now());
    }
    for (const outcome_listener& call : outcome_listeners_)
        call(record.offset, outcome);
}

void config_follower::scan_page(const log_page& page) {
    const config_version before = fold_.version();
    for (const log_record& record : page.records) {
        scan_from_ = record.offset.next();
        if (!config_fold::is_usable_snapshot(record.payload, page.first_kept) ||
            !fold_.take_over_record(record.payload))
            continue;
        scan_from_ = log_offset();
        read_at_once_ = true;
        announce(before);
        return;
    }
    read_at_once_ = !page.records.empty();
    if (page.records.empty())
        state_ = recovery_state::waiting_for_state;
}

void config_follower::offer_peer_state(const peer_offer& offer) {
    heard_ = std::max(heard_, offer.version);
    const bool same = offer.version == fold_.version() && !offer.version.is_none();
    if (same && offer.age.has_value())
        evidence_.note_confirmed(offer.asked_at - *offer.age);
    const bool cannot_read_on = state_ == recovery_state::waiting_for_state;
    if (offer.version > fold_.version())
        fetch_from(offer.address, fold_.version());
    else if (same && cannot_read_on)
        fetch_from(offer.address, config_version(offer.version.value() - 1));
}

void config_follower::fetch_from(const std::string& address, config_version newer_than) {
    if (fetch_open_ || !fetch_)
        return;
    fetch_open_ = true;
    fetch_sent_ = time_.now();
    const std::uint64_t mine = ++fetch_number_;
    fetch_(address, newer_than,
           [this, mine,
            alive = std::weak_ptr<bool>(alive_)](const absl::StatusOr<std::string>& state) {
               if (alive.expired() || mine != fetch_number_ || !fetch_open_)
                   return;
               fetch_open_ = false;
               take_state(state);
           });
}

void config_follower::take_state(const absl::StatusOr<std::string>& state) {
    const config_version before = fold_.version();
    if (!state.ok() || !fold_.take_over(*state))
        return;
    scan_from_ = log_offset();
    read_at_once_ = true;
    if (state_ == recovery_state::waiting_for_state)
        state_ = recovery_state::reading;
    schedule_.note_unknown_base(fold_.offset(), time_.now());
    announce(before);
}

void config_follower::append_snapshot(instant now) {
    if (fold_.version().is_none())
        return;
    schedule_.note_attempt(now);
    ++snapshots_appended_;
    // A lost acknowledgement needs no care: a second snapshot folds to nothing.
    log_.append(config_stream, fold_.snapshot_record(time_.wall_now()),
                [](const absl::StatusOr<log_offset>&) {});
}

void config_follower::announce(config_version before) {
    if (fold_.version() == before)
        return;
    const std::shared_ptr<const manifest> config = fold_.current();
    for (const listener& call : listeners_)
        call(*config, fold_.version());
}

} // namespace figwinch
