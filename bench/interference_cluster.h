#pragma once

#include "bench/interference_fake_task.h"
#include "bench/interference_outcome.h"
#include "bench/interference_pairs.h"
#include "bench/interference_policy.h"
#include "figwinch/base.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <random>
#include <vector>

namespace figwinch {

/// A few dozen hosts at the interface of interference control: each has one service whose latency
/// depends on its load and its batch neighbours. Not a cluster: tasks have no leases, failures or
/// owners. Loads and arrivals depend on the seed alone, so that policies meet the same ones.
class interference_cluster {
public:
    static constexpr int hosts = 24;
    static constexpr int seconds = 1800;

    explicit interference_cluster(std::uint64_t seed)
        : loads_(seed), arrivals_(seed + 1), noise_(seed + 2), pair_source_(seed + 3),
          pairs_(pair_source_) {}

    interference_outcome run(interference_policy& policy) {
        hosts_.resize(hosts);
        for (int second = 0; second < seconds; ++second) {
            now_ += std::chrono::seconds(1);
            shift_loads(second);
            arrive(second);
            place(policy, second);
            for (int at = 0; at < hosts; ++at)
                step(hosts_[static_cast<std::size_t>(at)], at, policy, second);
        }
        return outcome();
    }

private:
    struct report {
        int due = 0;
        double p99 = 0;
        std::int64_t samples = 0;
    };
    struct command {
        int due = 0;
        interference_action action;
    };
    struct listing {
        int due = 0;
        std::vector<batch_neighbour> tasks;
    };
    struct host_model {
        double load = 0.5;
        std::vector<fake_task> tasks;
        std::deque<report> reports;
        std::deque<listing> listings;
        std::deque<command> commands;
        std::vector<batch_neighbour> listed;
    };

    static constexpr double batch_room = 10;
    static constexpr int report_lag = 2;
    static constexpr int command_lag = 1;
    static constexpr int restart_delay = 5;
    static constexpr double requests_at_full_load = 100;
    static constexpr double lost_command_chance = 0.02;
    static constexpr duration target = std::chrono::milliseconds(100);
    /// Ratio of p99 to target of an idle service that is alone; four fifths at 80 percent load.
    static constexpr double idle_ratio = 0.16;
    static constexpr double spread = 0.4;
    static constexpr double spread_p99 = 2.326;
    static constexpr std::size_t placement_choices = 8;

    static std::size_t service_of(int host) {
        return static_cast<std::size_t>(host) % interference_pairs::services;
    }
    static std::string host_name(int host) { return "host-" + std::to_string(host); }
    static std::string template_name(std::size_t number) {
        return "template-" + std::to_string(number);
    }
    double chance(std::mt19937_64& random) const {
        return std::uniform_real_distribution<double>(0, 1)(random);
    }

    /// A slow wave for each service, and sudden shifts that come without warning.
    void shift_loads(int second) {
        for (std::size_t service = 0; service < interference_pairs::services; ++service) {
            if (chance(loads_) < 1.0 / 120)
                shift_[service] = 0.4 * chance(loads_) - 0.2;
            const double phase = 2.0 * static_cast<double>(service);
            base_[service] = 0.5 + 0.15 * std::sin(second / 100.0 + phase) + shift_[service];
        }
        for (int at = 0; at < hosts; ++at) {
            const double jitter = 0.9 + 0.2 * chance(loads_);
            hosts_[static_cast<std::size_t>(at)].load =
                std::clamp(base_[service_of(at)] * jitter, 0.1, 0.8);
        }
    }

    /// A steady stream of tasks, and waves of one template.
    void arrive(int second) {
        if (chance(arrivals_) < 0.9)
            enqueue(second, random_template());
        if (chance(arrivals_) >= 1.0 / 90)
            return;
        const std::size_t copied_from = random_template();
        const int count = 20 + static_cast<int>(40 * chance(arrivals_));
        for (int i = 0; i < count; ++i)
            enqueue(second, copied_from);
    }
    std::size_t random_template() {
        return std::uniform_int_distribution<std::size_t>(0, interference_pairs::templates -
                                                                 1)(arrivals_);
    }
    void enqueue(int second, std::size_t copied_from) {
        fake_task task{.name = "job/" + std::to_string(next_task_++), .copied_from = copied_from};
        task.cores = 1 + std::floor(3 * chance(arrivals_));
        task.work = task.cores * (40 + 120 * chance(arrivals_));
        task.checkpointable = copied_from % 2 == 0;
        task.ready_at = second;
        queue_.push_back(std::move(task));
    }

    static double committed(const host_model& host) {
        double cores = 0;
        for (const fake_task& task : host.tasks)
            cores += task.cores;
        return cores;
    }

    /// Fills the room of each host, in turn, from the head of the queue; with learned placement
    /// with the one of the first few tasks that is expected to hurt this host least.
    void place(const interference_policy& policy, int second) {
        for (int i = 0; i < hosts; ++i) {
            const int at = (i + second) % hosts;
            host_model& host = hosts_[static_cast<std::size_t>(at)];
            while (place_one(host, at, policy, second)) {
            }
        }
    }
    bool place_one(host_model& host, int at, const interference_policy& policy, int second) {
        const double room = batch_room * policy.room_fraction - committed(host);
        auto chosen = queue_.end();
        double lowest = 2;
        std::size_t seen = 0;
        for (auto task = queue_.begin(); task != queue_.end() && seen < placement_choices; ++task) {
            if (task->ready_at > second || task->cores > room)
                continue;
            ++seen;
            const double penalty =
                policy.learned_placement
                    ? policy.controller->penalty(
                          host_name(at), template_id(template_name(task->copied_from)), now_)
                    : 0;
            if (penalty >= lowest)
                continue;
            lowest = penalty;
            chosen = task;
        }
        if (chosen == queue_.end())
            return false;
        chosen->percent = 100;
        host.tasks.push_back(std::move(*chosen));
        queue_.erase(chosen);
        return true;
    }

    void step(host_model& host, int at, interference_policy& policy, int second) {
        serve(host, at, second);
        work(host);
        list(host, second);
        if (!policy.controller)
            return;
        deliver(host, at, policy, second);
        carry_out(host, second);
    }

    void serve(host_model& host, int at, int second) {
        double service_time = 1;
        for (const fake_task& task : host.tasks)
            service_time += pairs_.slowdown(service_of(at), task.copied_from, task.cores,
                                            task.percent, host.load);
        const double utilisation = std::min(host.load * service_time, 0.97);
        const double p99 = idle_ratio * service_time / (1 - utilisation);
        std::lognormal_distribution<double> request(-spread * spread_p99, spread);
        std::vector<double> seen(static_cast<std::size_t>(host.load * requests_at_full_load));
        for (double& ratio : seen)
            ratio = p99 * request(noise_);
        ratios_.insert(ratios_.end(), seen.begin(), seen.end());
        const auto rank = static_cast<std::ptrdiff_t>(static_cast<double>(seen.size()) * 0.99);
        std::nth_element(seen.begin(), seen.begin() + rank, seen.end());
        const int jitter = chance(noise_) < 0.3 ? 1 : 0;
        host.reports.push_back({.due = second + report_lag + jitter,
                                .p99 = seen[static_cast<std::size_t>(rank)],
                                .samples = static_cast<std::int64_t>(seen.size())});
    }

    void work(host_model& host) {
        for (fake_task& task : host.tasks) {
            const double step = task.cores * task.percent / 100;
            task.done += step;
            useful_ += step;
        }
        std::erase_if(host.tasks, [](const fake_task& task) { return task.done >= task.work; });
    }

    static void list(host_model& host, int second) {
        listing now{.due = second + report_lag, .tasks = {}};
        for (const fake_task& task : host.tasks) {
            now.tasks.push_back(
                {.task = task_id(task.name),
                 .copied_from = template_id(template_name(task.copied_from)),
                 .used = {.cpu_millis = std::llround(task.cores * 10.0 * task.percent)},
                 .throttle_percent = task.percent,
                 .checkpointable = task.checkpointable});
        }
        host.listings.push_back(std::move(now));
        while (host.listings.front().due <= second) {
            host.listed = std::move(host.listings.front().tasks);
            host.listings.pop_front();
        }
    }

    void deliver(host_model& host, int at, interference_policy& policy, int second) {
        const service_id service("service-" + std::to_string(service_of(at)));
        while (!host.reports.empty() && host.reports.front().due <= second) {
            const report& heard = host.reports.front();
            policy.controller->observe_latency(
                host_name(at), service,
                duration(std::llround(heard.p99 * static_cast<double>(target.count()))), target,
                heard.samples, now_);
            host.reports.pop_front();
        }
        for (interference_action& action :
             policy.controller->decide(host_name(at), host.listed, now_)) {
            if (chance(noise_) >= lost_command_chance)
                host.commands.push_back({.due = second + command_lag, .action = std::move(action)});
        }
    }

    void carry_out(host_model& host, int second) {
        while (!host.commands.empty() && host.commands.front().due <= second) {
            const interference_action action = host.commands.front().action;
            host.commands.pop_front();
            const auto task = std::ranges::find(host.tasks, action.task.str(), &fake_task::name);
            if (task == host.tasks.end())
                continue;
            if (action.step == interference_step::throttle) {
                throttle_changes_ += task->percent != action.percent ? 1 : 0;
                task->percent = action.percent;
                continue;
            }
            ++evictions_;
            if (!task->checkpointable) {
                useful_ -= task->done;
                task->done = 0;
            }
            task->ready_at = second + restart_delay;
            queue_.push_front(std::move(*task));
            host.tasks.erase(task);
        }
    }

    interference_outcome outcome() {
        const auto rank = static_cast<std::ptrdiff_t>(static_cast<double>(ratios_.size()) * 0.99);
        std::nth_element(ratios_.begin(), ratios_.begin() + rank, ratios_.end());
        const auto over = std::ranges::count_if(ratios_, [](double ratio) { return ratio > 1; });
        return {.p99_ratio = ratios_[static_cast<std::size_t>(rank)],
                .over_target_percent =
                    100.0 * static_cast<double>(over) / static_cast<double>(ratios_.size()),
                .batch_cores = useful_ / seconds,
                .evictions = evictions_,
                .throttle_changes = throttle_changes_};
    }

    std::mt19937_64 loads_;
    std::mt19937_64 arrivals_;
    std::mt19937_64 noise_;
    std::mt19937_64 pair_source_;
    interference_pairs pairs_;
    std::vector<host_model> hosts_;
    std::deque<fake_task> queue_;
    std::vector<double> ratios_;
    double shift_[interference_pairs::services] = {};
    double base_[interference_pairs::services] = {};
    instant now_{std::chrono::hours(1)};
    std::int64_t next_task_ = 0;
    double useful_ = 0;
    std::int64_t evictions_ = 0;
    std::int64_t throttle_changes_ = 0;
};

} // namespace figwinch
