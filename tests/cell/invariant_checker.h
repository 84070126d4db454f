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
class invariant_checker final : public worker_watch {
public:
    invariant_checker(sim_time& time, std::uint64_t seed) : time_(time), random_(seed) {}

    struct submitted_job {
        job_spec spec;
        std::optional<instant> cancel_stored;
    };
    /// All jobs that were ever submitted, by id, and the capacity of every worker.
    std::map<std::string, submitted_job> jobs;
    std::map<std::string, resources> capacities;
    /// Changes a worker's capacity. A smaller one counts only after `shrink_notice`.
    void resize(const std::string& worker, const resources& capacity) {
        resources& known = capacities.at(worker);
        std::vector<earlier_capacity>& earlier = earlier_capacities_[worker];
        std::erase_if(earlier, [this](const auto& entry) { return entry.until <= time_.now(); });
        earlier.push_back({time_.now() + shrink_notice, known});
        known = capacity;
    }
    /// The probability that a run fails.
    double failure_probability = 0.05;
    /// Makes every task take 1.5 s instead of a random time.
    bool long_tasks = false;
    /// The share of runs of batch tasks that take 5 to 12 s.
    double long_run_share = 0;
    /// The run time of best-effort tasks. 0 means the same as for other tasks.
    duration best_effort_length{};
    /// The violations so far.
    std::vector<std::string> violations;
    /// All events so far, to be shown with a violation.
    std::vector<std::string> trace;
    std::uint64_t starts = 0;
    /// Ended runs of which workers were told that the log has them.
    std::uint64_t ends_noted = 0;
    /// Tasks that crash every worker that starts them, and how long after the start.
    std::map<std::string, duration> crashing_tasks;
    /// Called after a task has crashed a worker.
    std::function<void(const std::string& worker)> after_crash;
    /// Called when a batch task starts on a worker, just before its resources are counted as used.
    std::function<void(const std::string& worker)> on_batch_start;

    void on_start(const std::string& worker, const start_order& order, bool late) override {
        ++starts;
        record_event("start " + order.task + " run " + std::to_string(order.run.value()) + " on " +
                     worker + (late ? " late" : ""));
        const auto name = parse_task_name(order.task);
        if (!name || !jobs.contains(name->job.str()))
            return report_violation("UNASKED", order.task, worker);
        const submitted_job& job = jobs.at(name->job.str());
        const step_spec& step = job.spec.steps.at(name->step);
        check_duplicate(order, worker, step);
        if (const auto ends = done_runs_.find(order.task); ends != done_runs_.end())
            started_after_[order.task] = ends->second;
        if (!step.is_service && on_batch_start)
            on_batch_start(worker);
        check_dependencies(*name, job, worker);
        check_capacity(worker, step, order.task);
        check_crash_budget(order.task, worker);
        if (!step.is_service && acknowledged_failures_[order.task] >= job.spec.attempts)
            report_violation("BUDGET", order.task, worker);
        constexpr duration cancel_bound = std::chrono::milliseconds(9500);
        if (!late && job.cancel_stored && time_.now() - *job.cancel_stored > cancel_bound)
            report_violation("CANCELLED", order.task, worker);
        if (step.gang)
            ++gangs_[gang_key(order.task, order.run)].started;
        running_[order.task].insert({worker, order.run});
        on_worker_[worker].insert(order.task);
    }
    void on_end(const std::string& worker, const std::string& task, run_number run,
                run_end how) override {
        record_event("end " + task + " run " + std::to_string(run.value()) + " on " + worker +
                     " reason " + std::to_string(static_cast<int>(how)));
        running_[task].erase({worker, run});
        on_worker_[worker].erase(task);
        if (const auto gang = gangs_.find(gang_key(task, run)); gang != gangs_.end())
            gang->second.ended = gang->second.ended.value_or(how);
        if (how == run_end::done) {
            for (const std::string& member : ended_with(task))
                done_.insert(member);
            done_runs_[task].insert(run);
        }
        // A failed run of a gang is one of each of its members, whichever of them failed.
        if (how == run_end::failed)
            for (const std::string& member : ended_with(task))
                failed_runs_[member].insert(run);
    }
    void on_noted(const std::string& worker, const ended_run& row) override {
        ++ends_noted;
        record_event("acknowledged " + row.task + " run " + std::to_string(row.run.value()) +
                     " on " + worker);
        if (row.reason == run_end::done) {
            for (const std::string& member : ended_with(row.task))
                acknowledged_done_.insert(member);
            check_started_after(row, worker);
        }
        if (row.reason == run_end::failed)
            ++acknowledged_failures_[row.task];
    }
    gang_view gang_of(const std::string& task, run_number run) override {
        const auto known = gangs_.find(gang_key(task, run));
        if (known == gangs_.end())
            return {};
        return {true, known->second.started >= step_of(task).tasks, known->second.ended};
    }
    duration length_of(const std::string& task) override {
        const step_spec& step = step_of(task);
        if (step.is_service)
            return duration(-1);
        if (step.is_best_effort && best_effort_length > duration::zero())
            return best_effort_length;
        if (long_run_share > 0 && static_cast<double>(draw() % 1000) < long_run_share * 1000)
            return std::chrono::milliseconds(5000 + draw() % 7000);
        return std::chrono::milliseconds(long_tasks ? 1500 : 200 + draw() % 1500);
    }
    std::optional<duration> crash_delay_of(const std::string& task) override {
        const auto known = crashing_tasks.find(task);
        return known == crashing_tasks.end() ? std::nullopt : std::optional(known->second);
    }
    void on_crash(const std::string& worker, const std::string& task) override {
        record_event("crash of " + worker + " by " + task + " ");
        ++crashes_[task];
        // Called within the worker, which has runs until this returns.
        time_.after(duration::zero(), [this, worker] {
            if (after_crash)
                after_crash(worker);
        });
    }
    bool fails(const std::string&) override {
        return static_cast<double>(draw() % 1000) < failure_probability * 1000;
    }

    /// A worker's process ends for a cause of its own while its runs are there.
    void count_restart(const std::string& worker) {
        for (const std::string& task : on_worker_[worker])
            ++restarts_[task];
    }
    bool has_started(const std::string& task) const { return running_.contains(task); }
    /// How many workers the task has crashed.
    std::uint32_t crashes_of(const std::string& task) const {
        const auto known = crashes_.find(task);
        return known == crashes_.end() ? 0 : known->second;
    }
    /// Whether the job may be shown as failed: one of its tasks has failed as often as it may, or
    /// two workers have crashed under it, whether or not it crashed them.
    bool may_have_failed(const std::string& job) const {
        const auto belongs = [&job](const auto& entry) {
            return entry.first.starts_with(job + ".");
        };
        const std::uint32_t attempts = jobs.at(job).spec.attempts;
        return std::ranges::any_of(failed_runs_,
                                   [&](const auto& entry) {
                                       return belongs(entry) && entry.second.size() >= attempts;
                                   }) ||
               std::ranges::any_of(
                   crashes_,
                   [&](const auto& entry) { return belongs(entry) && entry.second >= 2; }) ||
               may_be_given_up_after_restarts(job);
    }
    /// Whether two workers have restarted under one of the job's tasks, which didn't cause it.
    bool may_be_given_up_after_restarts(const std::string& job) const {
        return std::ranges::any_of(restarts_, [&](const auto& entry) {
            return entry.first.starts_with(job + ".") && entry.second >= 2;
        });
    }
    const step_spec& step_of(const std::string& task) const override {
        const auto name = parse_task_name(task);
        return jobs.at(name->job.str()).spec.steps.at(name->step);
    }

    bool has_succeeded(const std::string& task) const { return done_.contains(task); }
    bool is_running(const std::string& task) const {
        const auto known = running_.find(task);
        return known != running_.end() && !known->second.empty();
    }

private:
    std::uint64_t draw() { return random_(); }

public:
    void record_event(const std::string& what) {
        const auto at = time_.now().time_since_epoch().count() / 1000 - start_ms;
        trace.push_back(std::to_string(at) + " ms " + what);
        log_event(log_level::info, "watch", {{"saw", trace.back()}});
    }
    resources free_on(const std::string& worker) const {
        resources left = capacities.at(worker);
        if (const auto tasks = on_worker_.find(worker); tasks != on_worker_.end())
            for (const std::string& task : tasks->second)
                left -= counted_resources(step_of(task));
        return left;
    }
    /// Whether a worker has room for the task; for a member of a gang, which starts as a whole,
    /// whether the workers have room for all members together.
    bool has_room_for(const std::string& task) const {
        const step_spec& step = step_of(task);
        if (step.gang)
            return rooms_for(step.size) >= step.tasks;
        return std::ranges::any_of(capacities, [&](const auto& worker) {
            return fits(step_of(task).size, free_on(worker.first));
        });
    }
    /// How many tasks of a size all workers together have room for.
    std::uint32_t rooms_for(const resources& size) const {
        std::uint32_t rooms = 0;
        for (const auto& [worker, capacity] : capacities)
            for (resources left = free_on(worker); fits(size, left); left -= size)
                ++rooms;
        return rooms;
    }
    /// The free resources of each worker, one line per worker.
    std::string describe_free_resources() const {
        std::string text;
        for (const auto& [worker, capacity] : capacities)
            text += worker + " has free " + to_string(free_on(worker)) + "\n";
        return text;
    }
    /// The events that concern the given task or no task at all.
    std::string events_of(const std::string& task) const {
        std::string story;
        for (const std::string& line : trace)
            if (line.find("job") == std::string::npos || line.find(task + " ") != std::string::npos)
                story += "\n  " + line;
        return story;
    }
    void report_violation(const std::string& rule, const std::string& task,
                          const std::string& worker) {
        const auto at = time_.now().time_since_epoch().count() / 1000 - start_ms;
        violations.push_back(rule + " " + task + " on " + worker + " at " + std::to_string(at) +
                             " ms" + events_of(task));
    }

private:
    void check_duplicate(const start_order& order, const std::string& worker,
                         const step_spec& step) {
        if (!running_[order.task].empty() && !step.copies_allowed)
            report_violation("TWICE", order.task, worker);
        if (acknowledged_done_.contains(order.task) && !step.is_service)
            report_violation("AGAIN", order.task, worker);
    }
    /// A run of a gang: its step, by the tasks' common prefix, and the members' run number.
    static std::pair<std::string, run_number> gang_key(const std::string& task, run_number run) {
        return {task.substr(0, task.rfind('.')), run};
    }
    /// The tasks that have succeeded if this one has: all members of a gang.
    std::vector<std::string> ended_with(const std::string& task) const {
        const auto name = parse_task_name(task);
        const step_spec& step = step_of(task);
        if (!step.gang)
            return {task};
        std::vector<std::string> members;
        for (std::uint32_t index = 0; index < step.tasks; ++index)
            members.push_back(to_string(task_name{name->job, name->occurrence, name->step, index}));
        return members;
    }
    /// A good end that is acknowledged later forbids a start after it, too.
    void check_started_after(const ended_run& row, const std::string& worker) {
        const auto ends = started_after_.find(row.task);
        const step_spec& step = step_of(row.task);
        if (ends != started_after_.end() && ends->second.contains(row.run) && !step.is_service &&
            !step.copies_allowed)
            report_violation("AGAIN", row.task, worker);
    }
    void check_dependencies(const task_name& name, const submitted_job& job,
                            const std::string& worker) {
        for (const std::uint32_t earlier : job.spec.steps.at(name.step).depends_on)
            for (std::uint32_t index = 0; index < job.spec.steps.at(earlier).tasks; ++index) {
                const std::string other =
                    to_string(task_name{name.job, name.occurrence, earlier, index});
                if (!done_.contains(other))
                    return report_violation("ORDER", to_string(name), worker);
            }
    }
    void check_capacity(const std::string& worker, const step_spec& step, const std::string& task) {
        resources taken = counted_resources(step);
        for (const std::string& other : on_worker_[worker])
            taken += counted_resources(step_of(other));
        const auto allows = [&](const earlier_capacity& earlier) {
            return time_.now() < earlier.until && fits(taken, earlier.capacity);
        };
        if (!fits(taken, capacities.at(worker)) &&
            std::ranges::none_of(earlier_capacities_[worker], allows))
            report_violation("LIMIT", task, worker);
    }
    /// A task that has crashed three workers may be started twice more.
    void check_crash_budget(const std::string& task, const std::string& worker) {
        constexpr std::uint32_t crashes_before_limit = 3;
        constexpr std::uint32_t starts_after = 3;
        if (crashes_of(task) >= crashes_before_limit &&
            ++starts_after_crashes_[task] == starts_after)
            report_violation("BUDGET after crashes", task, worker);
    }
    static resources counted_resources(const step_spec& step) {
        resources size = step.size;
        size.cpu_millis = step.is_best_effort ? 0 : size.cpu_millis;
        return size;
    }

    struct earlier_capacity {
        instant until;
        resources capacity;
    };
    /// How long the earlier capacity of a worker that has shrunk still counts.
    static constexpr duration shrink_notice = std::chrono::milliseconds(4100);
    /// The start time of the simulated clock, in ms.
    static constexpr std::int64_t start_ms = 3'600'000;

    sim_time& time_;
    std::mt19937_64 random_;
    std::map<std::string, std::vector<earlier_capacity>> earlier_capacities_;
    std::map<std::string, std::set<std::pair<std::string, run_number>>> running_;
    std::map<std::string, std::multiset<std::string>> on_worker_;
    std::set<std::string> done_;
    std::set<std::string> acknowledged_done_;
    /// The runs of a task that have succeeded, and those after which it was started once more.
    std::map<std::string, std::set<run_number>> done_runs_;
    struct gang_run {
        std::uint32_t started = 0;
        std::optional<run_end> ended;
    };
    std::map<std::pair<std::string, run_number>, gang_run> gangs_;
    std::map<std::string, std::set<run_number>> started_after_;
    std::map<std::string, std::uint32_t> acknowledged_failures_;
    std::map<std::string, std::set<run_number>> failed_runs_;
    std::map<std::string, std::uint32_t> crashes_;
    /// How many workers' processes have ended under each task as `count_restart` was told.
    std::map<std::string, std::uint32_t> restarts_;
    std::map<std::string, std::uint32_t> starts_after_crashes_;
};

} // namespace figwinch::sim
