#pragma once

#include "figwinch/simulation/sim_advisor.h"
#include "figwinch/simulation/sim_worker.h"

#include <algorithm>
#include <set>

namespace figwinch::sim {

/// The workers of a test, and which of them are cut off from everything.
struct sim_fleet {
    struct entry {
        worker_listing listing;
        std::unique_ptr<sim_worker> worker;
        bool cut = false;
    };
    std::map<std::string, entry> workers;
    sim_policy policy;
    /// Share of orders that get no answer and are carried out 2 to 12 s later.
    double late_orders = 0;
    /// Share of orders that are carried out and whose answers are lost.
    double lost_answers = 0;
    /// The same for orders to pace, where it is more.
    double late_paces = 0;
    double lost_pace_answers = 0;
    /// And to stop.
    double late_stops = 0;
    /// Share of orders to start that the sender drops unsent.
    double dropped_starts = 0;
    /// Sees every order to start as it is sent; whether it arrives is open.
    std::function<void(const std::string& worker, const std::string& task)> on_start_sent;
    /// Whether a start reaches no other incarnation of the worker than it is meant for, as
    /// `worker_orders` requires. Of any other the sender is told that it may have reached another.
    std::function<bool(run_number)> reaches_one_incarnation = [](run_number) { return true; };
};

/// One host's way to the workers.
class sim_orders final : public worker_orders {
public:
    sim_orders(sim_time& time, sim_fleet& fleet, std::function<double()> random)
        : time_(time), fleet_(fleet), random_(std::move(random)) {}

    bool cut = false;
    /// Workers that this host doesn't reach, while others may.
    std::set<std::string> cut_from;
    /// How long orders to start wait unsent.
    duration unsent{};
    /// The worker of the newest one that began to wait.
    std::string waits_for;

    void start(const worker_listing& where, const start_order& order,
               answer_handler done) override {
        if (fleet_.dropped_starts > 0 && random_() < fleet_.dropped_starts)
            return time_.after(timeout, [done, alive = std::weak_ptr(alive_)] {
                if (!alive.expired())
                    done({order_outcome::dropped});
            });
        if (unsent == duration::zero())
            return send_start(where, order, done);
        waits_for = where.id.str();
        time_.after(unsent, [this, where, order, done, alive = std::weak_ptr(alive_)] {
            if (alive.expired())
                return;
            if (order.still_wanted())
                return send_start(where, order, done);
            done({order_outcome::dropped});
        });
    }
    void stop(const worker_listing& where, const std::string& task, run_number run,
              lease_epoch epoch, answer_handler done) override {
        const order_fate fate =
            draw(where, std::max(fleet_.late_orders, fleet_.late_stops), fleet_.lost_answers);
        send(where, fate, done, [task, run, epoch](sim_worker& worker, bool) {
            return worker.stop(task, run, epoch);
        });
    }
    void throttle(const worker_listing& where, const throttle_order& order,
                  answer_handler done) override {
        const order_fate fate = draw(where, std::max(fleet_.late_orders, fleet_.late_paces),
                                     std::max(fleet_.lost_answers, fleet_.lost_pace_answers));
        send(where, fate, done,
             [order](sim_worker& worker, bool late) { return worker.pace(order, late); });
    }
    void renew_lease(const worker_listing& where, const renewal_order& order,
                     renewal_handler done) override {
        const order_fate fate = draw(where);
        const auto answer = [alive = std::weak_ptr(alive_), done](order_outcome outcome,
                                                                  const worker_report& report) {
            if (!alive.expired())
                done(outcome, report);
        };
        if (fate.refused)
            return time_.after(way, [answer] { answer(order_outcome::not_sent, {}); });
        if (!fate.answered)
            time_.after(order.max_wait + timeout, [answer] { answer(order_outcome::unknown, {}); });
        if (fate.arrives)
            time_.after(fate.delay, [=, this, &fleet = fleet_, alive = std::weak_ptr(alive_),
                                     id = where.id.str(), born = born_of(where)] {
                const std::uint64_t listening = fleet.workers.at(id).worker->born_ms();
                if (fate.late && listening != born)
                    return;
                if (fleet.workers.at(id).worker->is_crashed()) {
                    if (fate.answered)
                        answer(order_outcome::unknown, {});
                    return;
                }
                const order_outcome outcome =
                    fleet.workers.at(id).worker->hold(as_received_by(listening, order));
                if (!fate.answered || alive.expired())
                    return;
                if (outcome != order_outcome::done)
                    return time_.after(way, [answer, outcome] { answer(outcome, {}); });
                wait_for_end(id, listening, order, time_.now() + order.max_wait, answer);
            });
    }
    void forget(const worker_id&) override {}
    /// Whether this host doesn't reach a worker.
    bool is_cut(const std::string& worker) const {
        return cut || cut_from.contains(worker) || fleet_.workers.at(worker).cut;
    }
    void kill() { alive_.reset(); }

private:
    static constexpr duration way = std::chrono::milliseconds(1);
    static constexpr duration timeout = std::chrono::milliseconds(700);

    struct order_fate {
        bool arrives = true;
        bool answered = true;
        bool late = false;
        /// No process listens at the worker's address.
        bool refused = false;
        /// Lost when the worker it was sent to has begun another life.
        bool one_life = false;
        duration delay = way;
    };

    void send_start(const worker_listing& where, const start_order& order,
                    const answer_handler& done) {
        const bool one_life = fleet_.reaches_one_incarnation(order.run);
        if (fleet_.on_start_sent)
            fleet_.on_start_sent(where.id.str(), order.task);
        const bool has_restarted = order.incarnation != born_of(where);
        order_fate fate = draw(where);
        fate.one_life = one_life;
        const auto tell = [done, one_life](order_answer answer) {
            answer.may_reach_other_incarnation = !one_life;
            done(answer);
        };
        if (one_life && has_restarted && fate.arrives)
            return tell_of_restart(fate, tell);
        send(where, fate, tell,
             [order, &fleet = fleet_, &time = time_, id = where.id.str()](sim_worker& worker,
                                                                          bool late) {
                 if (!fleet.policy.takes(id, order.task, order.ticket, time.now()))
                     return order_answer{order_outcome::not_advised, worker.clock_ms()};
                 return worker.start(order, late);
             });
    }
    /// Answers a start for an incarnation that has ended. It isn't sent: whoever listens is asked
    /// first.
    void tell_of_restart(const order_fate& fate, const answer_handler& tell) {
        const order_outcome outcome =
            fate.answered ? order_outcome::other_incarnation : order_outcome::not_sent;
        time_.after(fate.answered ? 2 * way : timeout,
                    [tell, outcome, alive = std::weak_ptr(alive_)] {
                        if (!alive.expired())
                            tell({outcome});
                    });
    }
    /// The part of a hold that a worker's incarnation receives: another one than it is meant for is
    /// only asked for a report.
    static renewal_order as_received_by(std::uint64_t born_ms, const renewal_order& order) {
        if (order.incarnation == born_ms)
            return order;
        renewal_order question;
        question.epoch = order.epoch;
        return question;
    }
    std::uint64_t born_of(const worker_listing& where) const {
        return fleet_.workers.at(where.id.str()).worker->born_ms();
    }
    order_fate draw(const worker_listing& where) {
        return draw(where, fleet_.late_orders, fleet_.lost_answers);
    }
    order_fate draw(const worker_listing& where, double late, double lost) {
        order_fate drawn;
        if (is_cut(where.id.str())) {
            drawn.arrives = drawn.answered = false;
            return drawn;
        }
        if (fleet_.workers.at(where.id.str()).worker->is_crashed()) {
            drawn.arrives = drawn.answered = false;
            drawn.refused = true;
            return drawn;
        }
        if (random_() < late) {
            drawn.late = true;
            drawn.answered = false;
            drawn.delay = std::chrono::milliseconds(2000 + static_cast<int>(random_() * 10'000));
        } else if (random_() < lost) {
            drawn.answered = false;
        }
        return drawn;
    }
    template <class Order>
    void send(const worker_listing& where, const order_fate& fate, const answer_handler& done,
              Order order) {
        const auto answer = [alive = std::weak_ptr(alive_), done](const order_answer& result) {
            if (!alive.expired())
                done(result);
        };
        if (fate.refused)
            return time_.after(way, [answer] { answer({order_outcome::not_sent}); });
        if (!fate.answered)
            time_.after(timeout, [answer] { answer({order_outcome::unknown}); });
        if (fate.arrives)
            time_.after(fate.delay, [=, &time = time_, &fleet = fleet_, id = where.id.str(),
                                     born = born_of(where)] {
                sim_worker& worker = *fleet.workers.at(id).worker;
                // An order that waits in a worker's process ends with that process.
                const bool same_life = worker.born_ms() == born;
                if (fate.one_life && !same_life && fate.answered)
                    return time.after(timeout, [answer] { answer({order_outcome::unknown}); });
                if ((fate.late || fate.one_life) && !same_life)
                    return;
                if (worker.is_crashed()) {
                    if (fate.answered)
                        answer({order_outcome::unknown});
                    return;
                }
                const order_answer result = order(worker, fate.late);
                if (!fate.answered)
                    return;
                // The answer of a process that ends first is lost with its connection.
                time.after(way, [answer, result, &worker] {
                    answer(worker.is_crashed() ? order_answer{order_outcome::unknown} : result);
                });
            });
    }
    template <class Answer>
    void wait_for_end(const std::string& id, std::uint64_t born_ms, const renewal_order& order,
                      instant end, const Answer& answer) {
        const sim_fleet::entry& entry = fleet_.workers.at(id);
        // The connection has ended with the process that was asked.
        if (entry.worker->is_crashed() || entry.worker->born_ms() != born_ms)
            return answer(order_outcome::unknown, {});
        if (!entry.worker->has_end_after(order.acknowledged) && time_.now() < end)
            return time_.after(std::chrono::milliseconds(20),
                               [=, this, alive = std::weak_ptr(alive_)] {
                                   if (!alive.expired())
                                       wait_for_end(id, born_ms, order, end, answer);
                               });
        const worker_report report = entry.worker->report();
        // Cut off meanwhile: the answer is lost on its way.
        const order_outcome outcome = is_cut(id) ? order_outcome::unknown : order_outcome::done;
        time_.after(way, [=] { answer(outcome, report); });
    }

    sim_time& time_;
    sim_fleet& fleet_;
    std::function<double()> random_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace figwinch::sim
