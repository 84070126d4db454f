#pragma once

#include "figwinch/routing/dispatch_guard.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace figwinch {

/// A region of entries that exchange claims over a network that loses, delays, duplicates and cuts,
/// while entries crash, restart and freeze. Each holds a real `dispatch_guard`; everything random
/// comes from the seed.
class claim_network {
public:
    struct outcome {
        int sends = 0;
        int runs = 0;
        int not_run_answers = 0;
        int second_runs = 0;
        int false_not_run = 0;
    };

    explicit claim_network(std::uint64_t seed) : random_(seed) {
        guard_.window = duration(2'000'000);
        guard_.use_within = duration(500'000);
        guard_.voters = 1 + pick(5);
        for (std::size_t i = 0; i < guard_.voters; ++i)
            entries_.push_back({});
        for (std::size_t i = 0; i < entries_.size(); ++i) {
            boot(i);
            entries_[i].guard->vote_at_once();
        }
    }

    outcome run() {
        for (int request = 0; request < 6; ++request)
            plan_request(request);
        plan_faults();
        while (!events_.empty()) {
            event next = events_.top();
            events_.pop();
            now_ = std::max(now_, next.at);
            next.call();
        }
        return outcome_;
    }

private:
    struct event {
        std::int64_t at = 0;
        std::uint64_t order = 0;
        std::function<void()> call;
        bool operator<(const event& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    struct entry {
        std::unique_ptr<dispatch_guard> guard;
        int boots = 0;
        bool alive = true;
        std::int64_t frozen_until = 0;
        /// Clocks run up to 1% fast or slow.
        std::int64_t speed_permille = 1000;
    };
    struct send {
        std::size_t at = 0;
        int boot = 0;
        int request = 0;
        std::uint64_t sequence = 0;
        std::set<std::size_t> waiting;
        bool decided = false;
    };

    static claim_key key_of(int request) {
        return claim_key::of(customer_id("lugo"), request_id(std::to_string(request)));
    }
    std::size_t pick(std::size_t below) { return random_() % below; }
    bool chance(int percent) { return pick(100) < static_cast<std::size_t>(percent); }
    instant local(std::size_t i) const {
        return instant(duration(now_ * entries_[i].speed_permille + 1'000'000'000));
    }
    incarnation_id name(std::size_t i) const {
        return incarnation_id(std::to_string(i) + "#" + std::to_string(entries_[i].boots));
    }
    void boot(std::size_t i) {
        entry& it = entries_[i];
        it.alive = true;
        ++it.boots;
        it.speed_permille = 990 + static_cast<std::int64_t>(pick(21));
        it.guard =
            std::make_unique<dispatch_guard>(guard_, node_id(std::to_string(i)), name(i), local(i));
    }
    void at(std::int64_t when, std::function<void()> call) {
        events_.push({when, order_++, std::move(call)});
    }
    /// Runs on entry `i` unless that incarnation has died; waits while it is frozen.
    void on_entry(std::int64_t when, std::size_t i, int boot_number, std::function<void()> call) {
        at(when, [this, i, boot_number, call = std::move(call)] {
            if (!entries_[i].alive || (boot_number != 0 && entries_[i].boots != boot_number))
                return;
            if (now_ < entries_[i].frozen_until)
                on_entry(entries_[i].frozen_until, i, boot_number, call);
            else
                call();
        });
    }
    bool cut(std::size_t a, std::size_t b) const {
        return now_ < cut_until_ && (side_ >> a & 1U) != (side_ >> b & 1U);
    }
    void message(std::size_t from, std::size_t to, int boot_number,
                 const std::function<void()>& call) {
        const int copies = chance(loss_) ? 0 : chance(10) ? 2 : 1;
        for (int i = 0; i < copies && !cut(from, to); ++i)
            on_entry(now_ + 1 + static_cast<std::int64_t>(pick(chance(10) ? 900 : 20)), to,
                     boot_number, call);
    }

    void plan_request(int request) {
        const auto first = static_cast<std::int64_t>(pick(6000));
        const bool marked = chance(30);
        const std::size_t sends = 1 + pick(5);
        for (std::size_t i = 0; i < sends; ++i) {
            const send_mark mark = !marked  ? send_mark::unmarked
                                   : i == 0 ? send_mark::first
                                            : send_mark::resend;
            // Sends overtake each other.
            const auto when = first + static_cast<std::int64_t>(pick(chance(50) ? 60 : 4000));
            at(when, [this, request, mark] { receive(request, mark); });
        }
    }
    void plan_faults() {
        loss_ = static_cast<int>(pick(30));
        for (std::size_t i = 0; i < pick(6); ++i)
            at(static_cast<std::int64_t>(pick(8000)), [this] { break_something(); });
    }
    void break_something() {
        const std::size_t i = pick(entries_.size());
        const auto length = static_cast<std::int64_t>(50 + pick(3000));
        if (chance(40)) {
            entries_[i].alive = false;
            at(now_ + static_cast<std::int64_t>(pick(600)), [this, i] {
                if (!entries_[i].alive)
                    boot(i);
            });
        } else if (chance(50)) {
            entries_[i].frozen_until = now_ + length;
        } else {
            side_ = static_cast<unsigned>(random_());
            cut_until_ = now_ + length;
        }
    }

    void receive(int request, send_mark mark) {
        ++outcome_.sends;
        const std::size_t i = pick(entries_.size());
        on_entry(now_, i, 0, [this, i, request, mark] { begin(i, request, mark); });
    }
    void begin(std::size_t i, int request, send_mark mark) {
        const claim_progress begun =
            entries_[i].guard->begin(key_of(request), mark, entries_.size() - 1, local(i));
        auto it = std::make_shared<send>();
        it->at = i;
        it->boot = entries_[i].boots;
        it->request = request;
        it->sequence = begun.sequence;
        if (begun.sequence != 0)
            ask_all(it);
        advance(it, begun);
    }
    void ask_all(const std::shared_ptr<send>& it) {
        const incarnation_id claimant = name(it->at);
        for (std::size_t peer = 0; peer < entries_.size(); ++peer) {
            if (peer == it->at)
                continue;
            it->waiting.insert(peer);
            message(it->at, peer, 0, [this, it, peer, claimant] {
                const claim_vote vote = entries_[peer].guard->vote(key_of(it->request), claimant,
                                                                   it->sequence, local(peer));
                message(peer, it->at, it->boot, [this, it, peer, vote] { hear(it, peer, vote); });
            });
            on_entry(now_ + 150, it->at, it->boot, [this, it, peer] {
                if (it->waiting.erase(peer) != 0)
                    advance(it, entries_[it->at].guard->note_silence(key_of(it->request),
                                                                     it->sequence));
            });
        }
    }
    void hear(const std::shared_ptr<send>& it, std::size_t peer, const claim_vote& vote) {
        if (it->waiting.erase(peer) == 0)
            return;
        advance(it, entries_[it->at].guard->note_vote(key_of(it->request), it->sequence,
                                                      node_id(std::to_string(peer)), vote));
    }
    void advance(const std::shared_ptr<send>& it, const claim_progress& progress) {
        if (it->decided || progress.state == claim_state::pending)
            return;
        it->decided = true;
        if (progress.state != claim_state::granted) {
            give_up(it);
            return;
        }
        on_entry(now_ + static_cast<std::int64_t>(pick(400)), it->at, it->boot,
                 [this, it] { dispatch(it); });
    }
    void give_up(const std::shared_ptr<send>& it) {
        if (it->sequence == 0)
            return;
        if (entries_[it->at].guard->release(key_of(it->request), it->sequence, local(it->at)))
            answer_not_run(it->request);
        const incarnation_id claimant = name(it->at);
        for (std::size_t peer = 0; peer < entries_.size(); ++peer)
            if (peer != it->at)
                message(it->at, peer, 0, [this, it, peer, claimant] {
                    entries_[peer].guard->note_released(key_of(it->request), claimant,
                                                        it->sequence);
                });
    }
    void dispatch(const std::shared_ptr<send>& it) {
        // The queue was full, or the executor refused before running.
        const bool refused = chance(25);
        if (refused ||
            !entries_[it->at].guard->use(key_of(it->request), it->sequence, local(it->at))) {
            give_up(it);
            return;
        }
        if (chance(15)) { // sent, and refused with proof
            give_up(it);
            return;
        }
        // Another entry may have it in its queue for up to `use_within`, whatever happens here.
        const bool forwarded = chance(30);
        const int request = it->request;
        at(now_ + (forwarded ? static_cast<std::int64_t>(pick(500)) : 0),
           [this, request] { run_request(request); });
        entries_[it->at].guard->finish(key_of(it->request), it->sequence);
    }
    void run_request(int request) {
        ++outcome_.runs;
        if (ran_lately(request))
            ++outcome_.second_runs;
        last_run_[request] = now_;
    }
    void answer_not_run(int request) {
        ++outcome_.not_run_answers;
        if (ran_lately(request))
            ++outcome_.false_not_run;
    }
    /// The promise covers the window less twice `use_within` and the drift of the clocks.
    bool ran_lately(int request) const {
        constexpr std::int64_t promised = 950;
        const auto last = last_run_.find(request);
        return last != last_run_.end() && now_ - last->second <= promised;
    }

    std::mt19937_64 random_;
    dispatch_guard::settings guard_;
    std::vector<entry> entries_;
    std::priority_queue<event> events_;
    std::uint64_t order_ = 0;
    std::int64_t now_ = 0;
    int loss_ = 0;
    unsigned side_ = 0;
    std::int64_t cut_until_ = 0;
    std::map<int, std::int64_t> last_run_;
    outcome outcome_;
};

} // namespace figwinch
