#include "tests/config/config_history.h"

#include <algorithm>

namespace figwinch {
namespace {

using namespace std::chrono_literals;

const stream_name config_stream("config");

} // namespace

config_history::config_history(unsigned seed, bool with_lag) : random_(seed), with_lag_(with_lag) {
    log_.retention = 12 + static_cast<std::size_t>(pick(40));
    log_.on_append = [this](const stream_name&, const log_record& record) { fold_truth(record); };
    for (int i = 0; i < host_count; ++i)
        hosts_.push_back(std::make_unique<history_host>(
            loop_, log_, std::to_string(i),
            [this](const std::string& peer, const config_follower::state_callback& done) {
                deliver_state(peer, done);
            }));
}

std::string config_history::run() {
    log_turned_at_ = loop_.now();
    append(replace_record("first", 0, sample_manifest()));
    const instant end = loop_.now() + 15s;
    while (loop_.now() < end && failure_.empty()) {
        if (pick(4) == 0)
            operate();
        if (pick(6) == 0)
            break_something();
        for (const auto& host : hosts_) {
            if (pick(5) == 0)
                meet_peer(*host);
        }
        loop_.run_for(100ms);
        check();
    }
    heal();
    was_recoverable_ = can_recover();
    for (int i = 0; i < 60 && failure_.empty(); ++i) {
        for (const auto& host : hosts_)
            meet_peer(*host);
        loop_.run_for(100ms);
        check();
    }
    for (const auto& host : hosts_) {
        if (was_recoverable_ && host->follower->version() != truth_.version())
            fail("not the version in force after healing");
        if (was_recoverable_ && host->follower->state() != recovery_state::following)
            fail("not following after healing");
    }
    return failure_;
}

void config_history::append(const std::string& record) {
    if (log_.is_down)
        return;
    log_.append(config_stream, record);
    written_.push_back(record);
}

void config_history::operate() {
    const std::uint64_t base = truth_.version().value() - static_cast<std::uint64_t>(pick(2));
    const bool other = pick(2) == 0;
    const std::string record = state_record("change" + std::to_string(++changes_), base,
                                            other ? "b" : "a", pick(2) == 0 ? "in" : "out");
    append(record);
    // A second operator from the same base, or the same record again after a lost acknowledgement.
    if (pick(3) == 0)
        append(state_record("rival" + std::to_string(changes_), base, "a", "in"));
    if (pick(3) == 0)
        later(pick_ms(0, 3000), [this, record] { append(record); });
    if (pick(20) == 0)
        append("\xff not a record");
}

void config_history::break_something() {
    static constexpr std::array faults = {
        &config_history::outage,   &config_history::cut_off,          &config_history::isolate,
        &config_history::freeze,   &config_history::restart,          &config_history::lag,
        &config_history::truncate, &config_history::repeat_old_record};
    (this->*faults.at(static_cast<std::size_t>(pick(static_cast<int>(faults.size())))))();
}

void config_history::outage() {
    if (log_.is_down)
        return;
    const auto turn = [this](bool down) {
        log_.is_down = down;
        log_turned_at_ = loop_.now();
    };
    turn(true);
    later(pick_ms(100, 4000), [turn] { turn(false); });
}

void config_history::cut_off() {
    history_host& host = any();
    sim_log_client* link = host.link;
    link->is_cut = true;
    host.disturb();
    later(pick_ms(100, 5000), [&host, link] {
        link->is_cut = false;
        host.disturb();
    });
}

void config_history::isolate() {
    history_host& host = any();
    host.is_isolated = true;
    later(pick_ms(100, 5000), [&host] { host.is_isolated = false; });
}

void config_history::freeze() {
    history_host& host = any();
    host.is_frozen = true;
    later(pick_ms(100, 5000), [&host] {
        host.is_frozen = false;
        host.disturb();
    });
}

void config_history::restart() {
    any().restart();
}

void config_history::lag() {
    if (!with_lag_)
        return;
    history_host& host = any();
    sim_log_client* link = host.link;
    link->lag = pick_ms(100, 5000);
    later(pick_ms(100, 5000), [link] { link->lag = 0ms; });
}

void config_history::truncate() {
    const std::size_t before = log_.retention;
    log_.retention = 6 + static_cast<std::size_t>(pick(6));
    later(pick_ms(0, 1000), [this, before] { log_.retention = before; });
}

void config_history::repeat_old_record() {
    append(written_[static_cast<std::size_t>(pick(static_cast<int>(written_.size())))]);
}

void config_history::meet_peer(history_host& host) {
    const std::size_t index = static_cast<std::size_t>(pick(host_count));
    history_host& peer = *hosts_[index];
    if (&peer == &host || host.is_isolated || peer.is_isolated || host.is_frozen || peer.is_frozen)
        return;
    const instant asked_at = loop_.now();
    const duration there = pick_ms(0, 300);
    const duration back = pick_ms(0, 300);
    later(there, [this, &host, &peer, index, asked_at, back] {
        const peer_offer offer{std::to_string(index), peer.follower->version(),
                               peer.follower->age(loop_.now()), asked_at};
        later(back, [&host, offer] { host.follower->offer_peer_state(offer); });
    });
}

void config_history::deliver_state(const std::string& peer,
                                   const config_follower::state_callback& done) {
    const history_host& from = *hosts_[static_cast<std::size_t>(std::stoi(peer))];
    if (from.is_isolated || from.is_frozen) {
        later(1s, [done] { done(make_error(result_code::peer_unreachable, "cut")); });
        return;
    }
    later(pick_ms(0, 900), [done, state = from.follower->snapshot()] { done(state); });
}

void config_history::fold_truth(const log_record& record) {
    const fold_outcome outcome = truth_.fold(record.offset, record.payload);
    if (outcome.result != fold_result::accepted)
        return;
    versions_[truth_.version()] = truth_.current();
    accepted_at_[truth_.version()] = loop_.now();
    const bool is_out = !is_in_service(*truth_.current(), "a");
    if (is_out && !drained_at_.has_value()) {
        drained_at_ = loop_.now();
        up_since_drain_ = 0ms;
    }
    if (!is_out)
        drained_at_.reset();
}

void config_history::check() {
    if (drained_at_.has_value() && !log_.is_down) {
        const instant since = std::max(log_turned_at_, *drained_at_);
        up_since_drain_ = std::max<duration>(up_since_drain_, loop_.now() - since);
    }
    for (const auto& host : hosts_)
        check_host(*host);
}

void config_history::check_host(const history_host& host) {
    const config_follower& follower = *host.follower;
    if (host.went_back)
        fail("a version went back");
    if (follower.version().is_none())
        return;
    if (follower.version() > truth_.version())
        fail("a version that was never accepted");
    else if (*follower.current() != *versions_.at(follower.version()))
        fail("two states of one version");
    if (with_lag_ || host.is_frozen)
        return;

    const instant now = loop_.now();
    constexpr duration in_force_limit = 4s;
    const bool heard_all = now - host.undisturbed_since > in_force_limit && !log_.is_down &&
                           now - log_turned_at_ > in_force_limit && !host.link->is_cut &&
                           follower.state() == recovery_state::following;
    const auto next = accepted_at_.find(follower.version().next());
    if (heard_all && next != accepted_at_.end() && now - next->second > in_force_limit)
        fail("an accepted change is not in force after 4 s");

    constexpr duration drain_limit = 3s;
    if (!drained_at_.has_value() || now - *drained_at_ <= drain_limit ||
        !is_in_service(*follower.current(), "a"))
        return;
    const freshness judged = follower.judge(now);
    if (judged == freshness::confirmed)
        fail("a start in a drained data centre, by a confirmed view");
    // The documented window: a drain accepted just before an outage that nobody has read.
    constexpr duration residual = 850ms;
    if (judged == freshness::outage && up_since_drain_ > residual)
        fail("a start in a drained data centre, in an outage");
}

void config_history::heal() {
    loop_.run_for(6s);
    log_.is_down = false;
    log_turned_at_ = loop_.now();
    log_.retention = 1000;
    for (const auto& host : hosts_) {
        host->link->is_cut = false;
        host->link->lag = 0ms;
        host->is_frozen = false;
        host->is_isolated = false;
        host->disturb();
    }
    check();
}

// Somebody has to hold a state from which the kept records lead on.
bool config_history::can_recover() {
    const std::vector<log_record>& kept = log_.records(config_stream);
    const log_offset first_kept = kept.front().offset;
    const auto leads_on = [&](const auto& host) {
        return !host->follower->version().is_none() &&
               host->follower->offset().next() >= first_kept;
    };
    const auto is_usable = [&](const log_record& record) {
        return config_fold::is_usable_snapshot(record.payload, first_kept);
    };
    return std::ranges::any_of(hosts_, leads_on) || std::ranges::any_of(kept, is_usable);
}

void config_history::fail(const std::string& what) {
    if (failure_.empty())
        failure_ = what;
}

} // namespace figwinch
