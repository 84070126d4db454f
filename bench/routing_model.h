#pragma once

#include "figwinch/routing.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace figwinch::bench {

/// What a run of the model is given.
struct routing_load {
    /// Percent of what all slots together can serve.
    int load_percent = 80;
    bool lose_entry = false;
    bool slow_executor = false;
    std::uint64_t seed = 1;
};

/// What became of the requests that arrived after the first second.
struct routing_outcome {
    double p50_ms = 0;
    double p99_ms = 0;
    double refused_percent = 0;
    double messages_per_request = 0;
};

/// Eight entries and 24 executors of 8 slots, as a discrete-event model: 0.25 ms between any two
/// processes, work of 10 to 30 ms, a deadline of 500 ms. A policy says where a request goes.
class routing_model {
public:
    static constexpr int entries = 8;
    static constexpr int executors = 24;
    static constexpr int slots = 8;
    static constexpr duration hop = std::chrono::microseconds(250);
    static constexpr duration deadline = std::chrono::milliseconds(500);
    static constexpr duration mean_work = std::chrono::milliseconds(20);
    static constexpr duration notice_of_loss = std::chrono::milliseconds(1500);

    struct request {
        int entry = 0;
        instant arrived{};
        int tries = 0;
        /// The entry whose slot it uses, or in whose queue it waits.
        int served_by = 0;
        /// It was passed to another entry to wait there.
        bool moved = false;
    };

    /// Where requests go. `choose` returns an executor, or -1 when the request has to wait at the
    /// entry `served_by`; the model then offers it again when `choose` may have changed.
    class policy {
    public:
        virtual ~policy() = default;
        virtual int choose(request& it, instant now) = 0;
        virtual void ended(const request& it, int executor, bool refused, duration latency,
                           instant now) = 0;
        virtual void note_waiting(int, std::size_t) {}
        virtual void note_entry_lost(int entry) = 0;
        virtual void heartbeat(instant) {}
        /// Whether waiting requests are offered again after a pause, for lack of a better sign.
        virtual bool polls() const { return false; }
    };

    explicit routing_model(const routing_load& with) : with_(with), random_(with.seed) {}

    std::mt19937_64& random() { return random_; }

    routing_outcome run(policy& rule) {
        rule_ = &rule;
        const double per_second =
            1e6 / double(mean_work.count()) * executors * slots * with_.load_percent / 100;
        std::exponential_distribution<double> gap(per_second / 1e6);
        for (instant t = start; t < end; t += duration(std::int64_t(gap(random_)) + 1))
            events_.push({t, kind::arrive, 0, {}});
        for (instant t = start; t < end; t += std::chrono::milliseconds(500))
            events_.push({t, kind::heartbeat, 0, {}});
        if (with_.lose_entry) {
            events_.push({start + std::chrono::seconds(3), kind::lose, 0, {}});
            events_.push({start + std::chrono::seconds(3) + notice_of_loss, kind::notice, 0, {}});
        }
        while (!events_.empty()) {
            const event next = events_.top();
            events_.pop();
            now_ = next.at;
            handle(next);
        }
        return summary();
    }

private:
    static constexpr instant start{std::chrono::hours(1)};
    static constexpr instant end = start + std::chrono::seconds(8);
    static constexpr instant counted = start + std::chrono::seconds(1);
    static constexpr duration pause = std::chrono::milliseconds(5);

    enum class kind { arrive, reach, done, refused, retry, heartbeat, lose, notice };
    struct event {
        instant at{};
        kind what = kind::arrive;
        int executor = 0;
        request it;
        bool operator<(const event& other) const { return at > other.at; }
    };

    void handle(const event& next) {
        request it = next.it;
        switch (next.what) {
        case kind::arrive:
            it.arrived = now_;
            it.entry = int(random_() % entries);
            if (it.entry == 0 && lost_)
                it.entry = 1 + int(random_() % (entries - 1));
            ++messages_;
            offer(it);
            break;
        case kind::reach:
            reach(next.executor, it);
            break;
        case kind::done:
            --busy_[std::size_t(next.executor)];
            answer(it, next.executor);
            break;
        case kind::refused:
            rule_->ended(it, next.executor, true, duration::zero(), now_);
            offer(it);
            break;
        case kind::retry:
            offer(it);
            break;
        case kind::heartbeat:
            rule_->heartbeat(now_);
            offer_waiting();
            break;
        case kind::lose:
            lose();
            break;
        case kind::notice:
            rule_->note_entry_lost(0);
            offer_waiting();
            break;
        }
    }
    void offer(request it) {
        if (it.entry == 0 && lost_)
            return refuse(it);
        if (now_ + mean_work > it.arrived + deadline)
            return refuse(it);
        const int chosen = rule_->choose(it, now_);
        if (chosen < 0) {
            wait(it);
            return;
        }
        ++messages_;
        if (it.served_by == 0 && lost_) // forwarded to the entry that is gone
            return refuse(it);
        const bool forwarded = it.served_by != it.entry;
        messages_ += forwarded ? 1 : 0;
        events_.push({now_ + hop * (forwarded ? 2 : 1), kind::reach, chosen, it});
    }
    void wait(const request& it) {
        if (rule_->polls())
            events_.push({now_ + pause, kind::retry, 0, it});
        else
            waiting_[std::size_t(it.served_by)].push_back(it);
        rule_->note_waiting(it.served_by, waiting_[std::size_t(it.served_by)].size());
    }
    void reach(int executor, request it) {
        int& busy = busy_[std::size_t(executor)];
        const duration back = hop * (it.served_by != it.entry ? 2 : 1);
        if (busy >= slots) {
            ++it.tries;
            events_.push({now_ + back, kind::refused, executor, it});
            return;
        }
        ++busy;
        std::uniform_int_distribution<duration::rep> work(10'000, 30'000);
        const int factor = with_.slow_executor && executor == 0 ? 5 : 1;
        // The slot is free when the work ends; the answer arrives a hop later.
        events_.push({now_ + duration(work(random_)) * factor + back, kind::done, executor, it});
    }
    void answer(const request& it, int executor) {
        rule_->ended(it, executor, false, now_ - it.arrived, now_);
        if (!(it.entry == 0 && lost_) && it.arrived >= counted)
            latencies_.push_back(double((now_ - it.arrived).count()) / 1000);
        else if (it.arrived >= counted)
            ++refused_;
        offer_waiting();
    }
    void offer_waiting() {
        for (std::size_t entry = 0; entry < waiting_.size(); ++entry) {
            auto& queue = waiting_[entry];
            for (std::size_t left = queue.size(); left > 0; --left) {
                request it = queue.front();
                queue.pop_front();
                const std::size_t before = queue.size();
                offer(it);
                if (queue.size() > before) { // still nothing free: keep its place
                    queue.pop_back();
                    queue.push_front(it);
                    break;
                }
            }
            rule_->note_waiting(int(entry), queue.size());
        }
    }
    void refuse(const request& it) {
        if (it.arrived >= counted)
            ++refused_;
    }
    void lose() {
        lost_ = true;
        for (const request& it : waiting_[0])
            refuse(it);
        waiting_[0].clear();
    }
    routing_outcome summary() {
        std::ranges::sort(latencies_);
        const double all = double(latencies_.size()) + double(refused_);
        const auto at = [this](double part) {
            return latencies_[std::size_t(double(latencies_.size() - 1) * part)];
        };
        return {at(0.5), at(0.99), 100 * double(refused_) / all, double(messages_) / all};
    }

    routing_load with_;
    std::mt19937_64 random_;
    policy* rule_ = nullptr;
    std::priority_queue<event> events_;
    instant now_{};
    std::vector<int> busy_ = std::vector<int>(executors);
    std::vector<std::deque<request>> waiting_{std::size_t(entries)};
    std::vector<double> latencies_;
    std::int64_t refused_ = 0;
    std::int64_t messages_ = 0;
    bool lost_ = false;
};

} // namespace figwinch::bench
