#pragma once

#include "figwinch/observe.h"
#include "figwinch/simulation/sim_worker.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace figwinch::sim {

/// Observes the start and end of every run on the simulated workers, checks the scheduler's
/// invariants and collects violations as text. Owned by `cell_world`.
class rule_watch final : public worker_watch {
public:
    rule_watch(sim_time& time, std::uint64_t seed) : time_(time), random_(seed) {}

    struct job_truth {
        job_spec spec;
        std::optional<instant> cancel_stored;
    };
    /// All jobs that were ever submitted, by id, and the capacity of every worker.
    std::map<std::string, job_truth> jobs;
    std::map<std::string, resources> room;
    /// The probability that a run fails.
    double failing = 0.05;
    /// Makes every task take 1.5 s instead of a random time.
    bool long_tasks = false;
    /// The run time of best-effort tasks. 0 means the same as for other tasks.
    duration filling_length{};
    /// The violations so far.
    std::vector<std::string> broken;
    /// All events so far, to be shown with a violation.
    std::vector<std::string> trace;
    std::uint64_t starts = 0;
    /// Called when a batch task starts on a worker, just before its resources are counted as used.
    std::function<void(const std::string& worker)> on_short_start;

    void on_start(const std::string& worker, const start_order& order, bool late) override {
        ++starts;
        note("start " + order.task + " run " + std::to_string(order.run.value()) + " on " + worker +
             (late ? " late" : ""));
        const auto name = parse_task_name(order.task);
        if (!name || !jobs.contains(name->job.str()))
            return blame("UNASKED", order.task, worker);
        const job_truth& job = jobs.at(name->job.str());
        const step_spec& step = job.spec.steps.at(name->step);
        check_once(order, worker, step);
        if (!step.lasting && on_short_start)
            on_short_start(worker);
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
        note("end " + task + " run " + std::to_string(run.value()) + " on " + worker + " reason " +
             std::to_string(static_cast<int>(how)));
        running_[task].erase({worker, run});
        on_worker_[worker].erase(task);
        if (how == run_end::done)
            done_.insert(task);
    }
    void on_noted(const std::string& worker, const ended_row& row) override {
        note("acknowledged " + row.task + " run " + std::to_string(row.run.value()) + " on " +
             worker);
        if (row.how == run_end::done)
            done_noted_.insert(row.task);
        if (row.how == run_end::failed)
            ++failures_noted_[row.task];
    }
    duration length_of(const std::string& task) override {
        const step_spec& step = step_of(task);
        if (step.lasting)
            return duration(-1);
        if (step.filling && filling_length > duration::zero())
            return filling_length;
        return std::chrono::milliseconds(long_tasks ? 1500 : 200 + draw() % 1500);
    }
    bool fails(const std::string&) override {
        return static_cast<double>(draw() % 1000) < failing * 1000;
    }

    bool begun(const std::string& task) const { return running_.contains(task); }
    const step_spec& step_of(const std::string& task) const override {
        const auto name = parse_task_name(task);
        return jobs.at(name->job.str()).spec.steps.at(name->step);
    }

    bool ended_well(const std::string& task) const { return done_.contains(task); }
    bool runs(const std::string& task) const {
        const auto known = running_.find(task);
        return known != running_.end() && !known->second.empty();
    }

private:
    std::uint64_t draw() { return random_(); }

public:
    void note(const std::string& what) {
        const auto at = time_.now().time_since_epoch().count() / 1000 - start_ms;
        trace.push_back(std::to_string(at) + " ms " + what);
        log_event(log_level::info, "watch", {{"saw", trace.back()}});
    }
    resources left_on(const std::string& worker) const {
        resources left = room.at(worker);
        if (const auto tasks = on_worker_.find(worker); tasks != on_worker_.end())
            for (const std::string& task : tasks->second)
                left -= counted(step_of(task));
        return left;
    }
    bool has_room_for(const std::string& task) const {
        return std::ranges::any_of(room, [&](const auto& worker) {
            return fits(step_of(task).size, left_on(worker.first));
        });
    }
    /// The free resources of each worker, one line per worker.
    std::string rooms() const {
        std::string text;
        for (const auto& [worker, capacity] : room)
            text += worker + " has free " + to_string(left_on(worker)) + "\n";
        return text;
    }
    /// The events that concern the given task or no task at all.
    std::string story_of(const std::string& task) const {
        std::string story;
        for (const std::string& line : trace)
            if (line.find("job") == std::string::npos || line.find(task + " ") != std::string::npos)
                story += "\n  " + line;
        return story;
    }
    void blame(const std::string& rule, const std::string& task, const std::string& worker) {
        const auto at = time_.now().time_since_epoch().count() / 1000 - start_ms;
        broken.push_back(rule + " " + task + " on " + worker + " at " + std::to_string(at) + " ms" +
                         story_of(task));
    }

private:
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
        for (const std::string& other : on_worker_[worker])
            taken += counted(step_of(other));
        if (!fits(taken, room.at(worker)))
            blame("LIMIT", task, worker);
    }
    static resources counted(const step_spec& step) {
        resources size = step.size;
        size.cpu_millis = step.filling ? 0 : size.cpu_millis;
        return size;
    }

    /// The start time of the simulated clock, in ms.
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
