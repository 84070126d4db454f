#pragma once

#include "bench/routing_model.h"

#include <array>
#include <map>
#include <optional>
#include <utility>

namespace figwinch::bench {

/// Any entry sends to any executor and relies on its refusal; up to four tries, then a pause.
class refusal_policy final : public routing_model::policy {
public:
    refusal_policy(routing_model& model, bool round_robin)
        : model_(model), round_robin_(round_robin) {}

    int choose(routing_model::request& it, instant) override {
        constexpr int tries = 4;
        it.served_by = it.entry;
        if (it.tries >= tries) {
            it.tries = 0;
            return -1;
        }
        if (!round_robin_)
            return int(model_.random()() % routing_model::executors);
        int& next = next_[std::size_t(it.entry)];
        return next++ % routing_model::executors;
    }
    void ended(const routing_model::request&, int, bool, duration, instant) override {}
    void note_entry_lost(int) override {}
    bool polls() const override { return true; }

private:
    routing_model& model_;
    bool round_robin_;
    std::array<int, routing_model::entries> next_{0, 3, 6, 9, 12, 15, 18, 21};
};

/// Every entry has its share of the slots of every executor: one of eight.
class share_policy final : public routing_model::policy {
public:
    explicit share_policy(routing_model& model) : model_(model) { divide(routing_model::entries); }

    int choose(routing_model::request& it, instant) override {
        it.served_by = it.entry;
        auto& free = free_[std::size_t(it.entry)];
        const auto begin = int(model_.random()() % routing_model::executors);
        for (int i = 0; i < routing_model::executors; ++i) {
            const int executor = (begin + i) % routing_model::executors;
            if (free[std::size_t(executor)] <= 0)
                continue;
            --free[std::size_t(executor)];
            return executor;
        }
        return -1;
    }
    void ended(const routing_model::request& it, int executor, bool, duration, instant) override {
        ++free_[std::size_t(it.entry)][std::size_t(executor)];
    }
    void note_entry_lost(int) override {
        // The lost entry's slot of each executor goes to the others in turn.
        for (int executor = 0; executor < routing_model::executors; ++executor)
            ++free_[std::size_t(1 + executor % (routing_model::entries - 1))]
                   [std::size_t(executor)];
    }

private:
    void divide(int among) {
        for (auto& free : free_)
            free.fill(routing_model::slots / among);
    }

    routing_model& model_;
    std::array<std::array<int, routing_model::executors>, routing_model::entries> free_{};
};

/// `executor_pool` of the owner; others forward where free slots are known. When none is known a
/// request waits where it arrived, or (`queue_at_owner`) at the entry with the shortest queue for
/// its slots.
class owner_policy final : public routing_model::policy {
public:
    explicit owner_policy(bool queue_at_owner) : queue_at_owner_(queue_at_owner) {
        manifest config;
        for (int i = 0; i < routing_model::executors; ++i) {
            executor_spec spec;
            spec.name = executor_id(std::to_string(i));
            spec.data_centre = here_;
            config.executors.push_back(spec);
        }
        for (int i = 0; i < routing_model::entries; ++i)
            live_.emplace_back("entry-" + std::to_string(i));
        for (const node_id& node : live_)
            pools_.emplace_back(executor_pool::settings{}, here_, node);
        for (executor_pool& pool : pools_) {
            pool.configure(config);
            pool.set_entries(live_);
        }
    }

    int choose(routing_model::request& it, instant now) override {
        if (!it.moved)
            it.served_by = it.entry;
        if (const auto own = acquire(it.served_by, now))
            return *own;
        if (it.moved)
            return -1;
        auto& known = known_[std::size_t(it.entry)];
        const auto best = std::ranges::max_element(known, {}, &knowledge::free);
        if (best->free > 0) {
            --best->free;
            const int lender = int(best - known.begin());
            // The forwarded request finds what is really free there, and the reply says so.
            if (const auto lent = acquire(lender, now)) {
                it.served_by = lender;
                return *lent;
            }
            best->free = 0;
            return choose(it, now);
        }
        if (queue_at_owner_)
            move(it);
        return -1;
    }
    void ended(const routing_model::request& it, int executor, bool refused, duration latency,
               instant now) override {
        executor_pool& pool = pools_[std::size_t(it.served_by)];
        const auto end = refused ? dispatch_end::refused : dispatch_end::answered;
        pool.release(executor_id(std::to_string(executor)), end, latency, now);
        // A forwarded answer says how many slots are free there.
        if (it.served_by != it.entry)
            learn(it.entry, it.served_by, now);
    }
    void note_entry_lost(int entry) override {
        std::erase(live_, node_id("entry-" + std::to_string(entry)));
        for (executor_pool& pool : pools_)
            pool.set_entries(live_);
        lost_ = entry;
    }
    void heartbeat(instant now) override {
        for (int from = 0; from < routing_model::entries; ++from)
            for (int to = 0; to < routing_model::entries; ++to)
                learn(to, from, now);
    }
    void note_waiting(int entry, std::size_t waiting) override {
        waiting_[std::size_t(entry)] = int(waiting);
    }

private:
    struct knowledge {
        int free = 0;
        int slots = 0;
        int queued = 0;
    };

    void learn(int at, int of, instant now) {
        const executor_pool& pool = pools_[std::size_t(of)];
        knowledge& known = known_[std::size_t(at)][std::size_t(of)];
        known.slots = of == lost_ ? 0 : pool.usable_slots(service_id("s"), now);
        known.queued = waiting_[std::size_t(of)];
        known.free = of == lost_ || of == at ? 0 : pool.free_slots(now);
    }
    void move(routing_model::request& it) {
        auto& known = known_[std::size_t(it.entry)];
        known[std::size_t(it.entry)].queued = waiting_[std::size_t(it.entry)];
        const auto load = [](const knowledge& one) {
            return one.slots == 0 ? 1e9 : double(one.queued + 1) / one.slots;
        };
        const auto best = std::ranges::min_element(known, {}, load);
        ++best->queued;
        it.served_by = int(best - known.begin());
        it.moved = it.served_by != it.entry;
    }

    std::optional<int> acquire(int entry, instant now) {
        const auto name = pools_[std::size_t(entry)].acquire(service_id("s"), {}, now);
        return name.has_value() ? std::optional(std::stoi(name->str())) : std::nullopt;
    }

    data_centre_id here_{"dc"};
    std::vector<node_id> live_;
    std::vector<executor_pool> pools_;
    std::array<std::array<knowledge, routing_model::entries>, routing_model::entries> known_{};
    std::array<int, routing_model::entries> waiting_{};
    bool queue_at_owner_;
    int lost_ = -1;
};

} // namespace figwinch::bench
