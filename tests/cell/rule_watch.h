#pragma once

#include "tests/cell/sim_worker.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace figwinch::sim {

/// Sees every start and end on every worker and holds them against the rules of the product. Broken
/// rules are kept as text. Owned by `cell_world`.
class rule_watch final : public worker_watch {
public:
    rule_watch(sim_time& time, std::uint64_t seed) : time_(time), random_(seed) {}

    struct job_truth {
        job_spec spec;
        std::optional<instant> cancel_stored;
    };
    /// Jobs that were ever handed in, and the room of every worker.
    std::map<std::string, job_truth> jobs;
    std::map<std::string, resources> room;
    /// Share of runs that fail.
    double failing = 0.05;
    std::vector<std::string> broken;
    std::uint64_t starts = 0;

    void on_start(const std::string& worker, const start_order& order, bool late) override {
        ++starts;
        const auto name = parse_task_name(order.task);
        if (!name || !jobs.contains(name->job.str()))
            return blame("UNASKED", order.task, worker);
        const job_truth& job = jobs.at(name->job.str());
        const step_spec& step = job.spec.steps.at(name->step);
        check_once(order, worker, step);
        check_order(*name, job, worker);
        check_room(worker, step, order.task);
        if (!step.lasting && failures_noted_[order.task] >= job.spec.attempts)
            blame("BUDGET", order.task, worker);
        constexpr duration cancel_bound = std::chrono::milliseconds(9500);
        if (!late && job.cancel_stored && time_.now() - *job.cancel_stored > cancel_bound)
            blame("CANCELLED", order.task, worker);
        running_[order.task].insert({worker, order.run});
        on_worker_[worker].insert(order.task);
    }
    void on_end(const std::string& worker, const std::string& task, run_number run,
                run_end how) override {
        running_[task].erase({worker, run});
        on_worker_[worker].erase(task);
        if (how == run_end::done)
            done_.insert(task);
    }
    void on_noted(const std::string&, const ended_row& row) override {
        if (row.how == run_end::done)
            done_noted_.insert(row.task);
        if (row.how == run_end::failed)
            ++failures_noted_[row.task];
    }
    duration length_of(const std::string& task) override {
        const auto name = parse_task_name(task);
        if (jobs.at(name->job.str()).spec.steps.at(name->step).lasting)
            return duration(-1);
        return std::chrono::milliseconds(200 + draw() % 1500);
    }
    bool fails(const std::string&) override { return static_cast<double>(draw() % 1000) < failing * 1000; }

    bool ended_well(const std::string& task) const { return done_.contains(task); }
    bool runs(const std::string& task) const {
        const auto known = running_.find(task);
        return known != running_.end() && !known->second.empty();
    }

private:
    std::uint64_t draw() { return random_(); }

    void blame(const std::string& rule, const std::string& task, const std::string& worker) {
        const auto at = time_.now().time_since_epoch().count() / 1000 - start_ms;
        broken.push_back(rule + " " + task + " on " + worker + " at " + std::to_string(at) + " ms");
    }
    void check_once(const start_order& order, const std::string& worker, const step_spec& step) {
        if (!running_[order.task].empty() && !step.copies_allowed)
            blame("TWICE", order.task, worker);
        if (done_noted_.contains(order.task) && !step.lasting)
            blame("AGAIN", order.task, worker);
    }
    void check_order(const task_name& name, const job_truth& job, const std::string& worker) {
        for (const std::uint32_t earlier : job.spec.steps.at(name.step).after)
            for (std::uint32_t index = 0; index < job.spec.steps.at(earlier).tasks; ++index) {
                const std::string other =
                    to_string(task_name{name.job, name.occurrence, earlier, index});
                if (!done_.contains(other))
                    return blame("ORDER", to_string(name), worker);
            }
    }
    void check_room(const std::string& worker, const step_spec& step, const std::string& task) {
        resources taken = counted(step);
        for (const std::string& other : on_worker_[worker]) {
            const auto name = parse_task_name(other);
            taken += counted(jobs.at(name->job.str()).spec.steps.at(name->step));
        }
        if (!fits(taken, room.at(worker)))
            blame("LIMIT", task, worker);
    }
    static resources counted(const step_spec& step) {
        resources size = step.size;
        size.cpu_millis = step.filling ? 0 : size.cpu_millis;
        return size;
    }

    /// Where a manual clock starts, ms.
    static constexpr std::int64_t start_ms = 3'600'000;

    sim_time& time_;
    std::mt19937_64 random_;
    std::map<std::string, std::set<std::pair<std::string, run_number>>> running_;
    std::map<std::string, std::multiset<std::string>> on_worker_;
    std::set<std::string> done_;
    std::set<std::string> done_noted_;
    std::map<std::string, std::uint32_t> failures_noted_;
};

} // namespace figwinch::sim
