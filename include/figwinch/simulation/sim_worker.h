#pragma once

#include "figwinch/cell.h"
#include "figwinch/simulation/sim_time.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace figwinch::sim {

/// Whether a run belongs to a gang, and what the other members' runs of that number do.
struct gang_view {
    bool is_member = false;
    /// All members are there, and work.
    bool is_complete = false;
    /// How the first of them ended.
    std::optional<run_end> ended;
};

/// What a worker shows an observer who sees everything, for checks of rules.
class worker_watch {
public:
    virtual ~worker_watch() = default;
    virtual void on_start(const std::string& worker, const start_order& order, bool late) = 0;
    virtual void on_end(const std::string& worker, const std::string& task, run_number run,
                        run_end how) = 0;
    virtual void on_noted(const std::string& worker, const ended_run& row) = 0;
    /// How long a run takes, and whether it fails; negative: for ever.
    virtual duration length_of(const std::string& task) = 0;
    virtual bool fails(const std::string& task) = 0;
    virtual const step_spec& step_of(const std::string& task) const = 0;
    virtual gang_view gang_of(const std::string&, run_number) { return {}; }
    /// How long after its start a run of the task crashes its worker; nothing: it does not.
    virtual std::optional<duration> crash_delay_of(const std::string&) { return std::nullopt; }
    /// A run of the task crashes the worker. Called before the worker's runs end.
    virtual void on_crash(const std::string&, const std::string&) {}
};

/// A worker as the platform's pages describe it: fence, lease on its own clock, runs, paces, ends.
class sim_worker {
public:
    sim_worker(sim_time& time, worker_watch& watch, std::string name, double clock_rate,
               duration max_hold)
        : time_(time), watch_(watch), name_(std::move(name)), clock_rate_(clock_rate),
          max_hold_(max_hold), born_(time.now()), tick_alive_(std::make_shared<bool>(true)) {
        schedule();
    }

    static constexpr duration stop_time = std::chrono::milliseconds(300);
    static constexpr duration gang_wait = std::chrono::seconds(3);
    static constexpr duration pace_time = std::chrono::milliseconds(100);

    std::int64_t clock_ms() const {
        const auto age = static_cast<double>((time_.now() - born_).count());
        return static_cast<std::int64_t>(age * clock_rate_ / 1000.0);
    }
    std::uint64_t born_ms() const {
        return static_cast<std::uint64_t>(born_.time_since_epoch().count() / 1000);
    }

    order_answer start(const start_order& order, bool late) {
        order_answer answer;
        answer.clock_ms = clock_ms();
        answer.outcome = judge_start(order);
        if (answer.outcome == order_outcome::superseded || !answer.clock_ms)
            return answer;
        extend(order.start_by_ms);
        if (answer.outcome != order_outcome::done || runs_.contains({order.task, order.run}))
            return answer;
        watch_.on_start(name_, order, late);
        live_run& made = runs_[{order.task, order.run}];
        made.started = time_.now();
        made.length = watch_.length_of(order.task);
        made.fails = watch_.fails(order.task);
        if (const auto delay = watch_.crash_delay_of(order.task))
            crash_later({order.task, order.run}, *delay);
        return answer;
    }
    order_answer stop(const std::string& task, run_number number, lease_epoch epoch) {
        order_answer answer;
        answer.clock_ms = clock_ms();
        if (!take_epoch(epoch)) {
            answer.outcome = order_outcome::superseded;
            return answer;
        }
        answer.outcome = order_outcome::done;
        std::uint64_t& barred = barred_[task];
        barred = std::max(barred, number.value());
        const auto known = runs_.find({task, number});
        if (known != runs_.end() && !known->second.stopping)
            known->second.stopping = time_.now() + stop_time;
        return answer;
    }
    order_answer pace(const throttle_order& order, bool late) {
        order_answer answer;
        answer.clock_ms = clock_ms();
        if (!take_epoch(order.epoch)) {
            answer.outcome = order_outcome::superseded;
            return answer;
        }
        answer.outcome = order_outcome::done;
        late_paces += late ? 1 : 0;
        if (const auto known = runs_.find({order.task, order.run}); known != runs_.end())
            repeated_paces += std::exchange(known->second.ordered_pace, order.speed_percent) ==
                              order.speed_percent;
        time_.after(pace_time, [this, weak = std::weak_ptr(tick_alive_), order] {
            if (weak.expired())
                return;
            if (const auto known = runs_.find({order.task, order.run}); known != runs_.end())
                known->second.pace = order.speed_percent;
        });
        return answer;
    }
    order_outcome hold(const renewal_order& order) {
        if (!take_epoch(order.epoch))
            return order_outcome::superseded;
        if (order.lease_until_ms)
            extend(*order.lease_until_ms);
        while (!ended_.empty() && ended_.front().sequence <= order.acknowledged) {
            // An end that is noted only after the lease has lapsed doesn't count: by then its
            // coordinator may have started the task elsewhere.
            if (ended_.front().sequence > lapsed_up_to_)
                watch_.on_noted(name_, ended_.front());
            ended_.pop_front();
        }
        return order_outcome::done;
    }
    bool has_end_after(std::uint64_t noted) const {
        return !ended_.empty() && ended_.back().sequence > noted;
    }
    worker_report report() const {
        worker_report report;
        report.clock_ms = clock_ms();
        report.incarnation = born_ms();
        for (const auto& [key, run] : runs_)
            report.running.push_back(
                {key.first, key.second, "", percent(run, time_.now()), recent(key.first, run)});
        const std::size_t listed = std::min(ended_.size(), max_listed_ends);
        report.ended.assign(ended_.begin(), ended_.begin() + static_cast<std::ptrdiff_t>(listed));
        report.has_more_ended = listed == max_listed_ends;
        return report;
    }
    /// Ends the process: its runs are gone, and its address refuses connections until `reborn`.
    void crash() {
        reborn();
        is_crashed_ = true;
    }
    bool is_crashed() const { return is_crashed_; }
    /// A crash and a new life: it runs nothing and knows nothing.
    void reborn() {
        is_crashed_ = false;
        for (const auto& [key, run] : runs_)
            watch_.on_end(name_, key.first, key.second, run_end::lease_expired);
        runs_.clear();
        ended_.clear();
        barred_.clear();
        fence_ = 0;
        lease_ms_ = 0;
        ends_ = 0;
        lapsed_up_to_ = 0;
        born_ = time_.now();
    }
    std::size_t running() const { return runs_.size(); }
    bool has(const std::string& task) const {
        return std::ranges::any_of(runs_, [&](const auto& run) { return run.first.first == task; });
    }
    /// Its run of a task, which it has, fails now.
    void fail_run(const std::string& task) { end_run(task, run_end::failed); }
    /// The same with another end.
    void end_run(const std::string& task, run_end how) {
        const auto run = std::ranges::find_if(
            runs_, [&](const auto& entry) { return entry.first.first == task; });
        const run_key key = run->first;
        runs_.erase(run);
        finish(key, how);
    }
    /// The pace at which a task's run works, per cent; nothing when there is no run.
    std::optional<int> pace_of(const std::string& task) const {
        for (const auto& [key, run] : runs_)
            if (key.first == task)
                return run.pace;
        return std::nullopt;
    }
    /// Tail / target of the tasks that serve here: a queue with one server, whose utilisation is
    /// multiplied by what fills beside it. Each core of filling work adds `slowdown_per_core`.
    double tail_ratio(double filling_cores) const {
        const double busy = serving_load * std::exp(slowdown_per_core * filling_cores);
        return unloaded_ratio / (1 - std::min(busy, 0.99));
    }
    /// Whether they are over their target by what fills beside them.
    bool harms() const { return tail_ratio(filling_cores()) > 1 && tail_ratio(0) <= 1; }
    /// Utilisation that the users of each serving task cause.
    double serving_load = 0.3;
    double slowdown_per_core = 1.2;
    /// Orders to pace that were carried out late.
    int late_paces = 0;
    /// Orders to pace that were the same as the one before.
    int repeated_paces = 0;
    /// Number of ended runs that a report lists at most.
    std::size_t max_listed_ends = 500;
    /// Runs stand still: they get on no more, and end only by a stop or with the lease.
    bool hangs = false;

private:
    using run_key = std::pair<std::string, run_number>;
    static constexpr double unloaded_ratio = 0.2;
    static constexpr duration tick_period = std::chrono::milliseconds(20);
    struct live_run {
        instant started;
        int pace = 100;
        int ordered_pace = 100;
        /// Time that its pace has taken from it.
        duration lost{};
        duration length{};
        bool fails = false;
        std::optional<instant> stopping;
    };

    int percent(const live_run& of, instant now) const {
        if (hangs)
            return 7;
        if (of.length < duration::zero())
            return 100;
        const auto part = (now - of.started - of.lost) * 100 / of.length;
        return static_cast<int>(std::min<std::int64_t>(part, 99));
    }
    double filling_cores() const {
        double cores = 0;
        for (const auto& [key, run] : runs_)
            if (const step_spec& step = watch_.step_of(key.first); step.is_best_effort)
                cores += static_cast<double>(step.size.cpu_millis * run.pace) / 100'000;
        return cores;
    }
    std::int64_t recent(const std::string& task, const live_run& run) const {
        const step_spec& step = watch_.step_of(task);
        if (step.latency_target <= duration::zero())
            return step.size.cpu_millis * run.pace / 100;
        const auto target_ms = static_cast<double>(step.latency_target.count()) / 1000;
        return std::llround(target_ms * tail_ratio(filling_cores()));
    }
    bool take_epoch(lease_epoch epoch) {
        if (epoch.value() < fence_)
            return false;
        fence_ = epoch.value();
        return true;
    }
    order_outcome judge_start(const start_order& order) {
        if (!take_epoch(order.epoch))
            return order_outcome::superseded;
        if (order.start_by_ms <= clock_ms())
            return order_outcome::too_late;
        const auto barred = barred_.find(order.task);
        if (barred != barred_.end() && order.run.value() <= barred->second)
            return order_outcome::too_late;
        return order_outcome::done;
    }
    void extend(std::int64_t until_ms) {
        const std::int64_t most = clock_ms() + max_hold_.count() / 1000;
        lease_ms_ = std::max(lease_ms_, std::min(until_ms, most));
    }
    void crash_later(const run_key& key, duration delay) {
        time_.after(delay, [this, weak = std::weak_ptr(tick_alive_), key, born = born_] {
            if (weak.expired() || born != born_ || !runs_.contains(key))
                return;
            watch_.on_crash(name_, key.first);
            crash();
        });
    }
    void schedule() {
        time_.after(tick_period, [this, weak = std::weak_ptr(tick_alive_)] {
            if (weak.expired())
                return;
            tick();
            schedule();
        });
    }
    void tick() {
        const bool lapsed = clock_ms() > lease_ms_;
        if (lapsed)
            lapsed_up_to_ = ends_;
        for (auto at = runs_.begin(); at != runs_.end();) {
            const run_key key = at->first;
            const gang_view gang = watch_.gang_of(key.first, key.second);
            const bool waits = gang.is_member && !gang.is_complete;
            at->second.lost += waits ? tick_period : tick_period * (100 - at->second.pace) / 100;
            std::optional<run_end> how = end_of(at->second, lapsed);
            if (!how)
                how = end_with_gang(gang, at->second);
            at = how ? runs_.erase(at) : std::next(at);
            if (how)
                finish(key, *how);
        }
    }
    std::optional<run_end> end_of(const live_run& of, bool lapsed) const {
        if (lapsed)
            return run_end::lease_expired;
        if (of.stopping)
            return time_.now() >= *of.stopping ? std::optional(run_end::stopped) : std::nullopt;
        if (!hangs && of.length >= duration::zero() &&
            time_.now() - of.started - of.lost >= of.length)
            return of.fails ? run_end::failed : run_end::done;
        return std::nullopt;
    }
    /// A gang ends well together; after any other end, or without all members, it can't work.
    std::optional<run_end> end_with_gang(const gang_view& gang, const live_run& member) const {
        if (gang.ended)
            return gang.ended == run_end::done ? run_end::done : run_end::gang_ended;
        const bool alone = gang.is_member && !gang.is_complete;
        return alone && time_.now() - member.started >= gang_wait
                   ? std::optional(run_end::gang_timeout)
                   : std::nullopt;
    }
    void finish(const run_key& key, run_end how) {
        std::uint64_t& barred = barred_[key.first];
        barred = std::max(barred, key.second.value());
        ended_.push_back({++ends_, key.first, key.second, how, ""});
        watch_.on_end(name_, key.first, key.second, how);
    }

    sim_time& time_;
    worker_watch& watch_;
    std::string name_;
    double clock_rate_;
    duration max_hold_;
    instant born_;
    bool is_crashed_ = false;
    std::uint64_t fence_ = 0;
    std::int64_t lease_ms_ = 0;
    std::uint64_t ends_ = 0;
    /// Ends before the last lapse of the lease.
    std::uint64_t lapsed_up_to_ = 0;
    std::map<run_key, live_run> runs_;
    std::deque<ended_run> ended_;
    std::map<std::string, std::uint64_t> barred_;
    std::shared_ptr<bool> tick_alive_;
};

} // namespace figwinch::sim
