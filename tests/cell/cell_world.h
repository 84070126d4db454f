#pragma once

#include "simulation/sim_host.h"
#include "tests/cell/invariant_checker.h"

#include <deque>
#include <memory>
#include <random>

namespace figwinch::sim {

/// A simulated cell for tests: the store, the workers, the hosts, and a checker of the scheduler's
/// invariants. Runs in simulated time and takes all random choices from one seed.
class cell_world {
public:
    /// `linked`: the other hosts relay the coordinator's orders to the workers. `strong`: the
    /// number of hosts with a whole core; the others have a small share of one and serve fewer
    /// workers.
    cell_world(std::uint64_t seed, std::size_t hosts, std::size_t workers,
               const cell_settings& settings = {}, bool linked = false,
               std::optional<std::size_t> strong = {})
        : settings_(settings), linked_(linked), strong_(strong.value_or(hosts)), random_(seed),
          checker_(time_, seed + 1) {
        store_.append(cell_stream::operators, {{"config", "1", 0}}, {});
        for (std::size_t index = 0; index < workers; ++index)
            add_worker("w" + std::to_string(index));
        hosts_.resize(hosts);
        for (std::size_t index = 0; index < hosts; ++index)
            start_host(index);
    }

    sim_time& time() { return time_; }
    sim_store& store() { return store_; }
    sim_fleet& fleet() { return fleet_; }
    /// Disconnects a host from the other hosts, or reconnects it.
    void cut_from_peers(std::size_t host, bool cut) { peers_.cut(address_of(host), cut); }
    invariant_checker& checker() { return checker_; }
    sim_host* host(std::size_t index) { return hosts_.at(index).get(); }
    std::size_t hosts() const { return hosts_.size(); }
    std::uint64_t draw() { return random_(); }
    double draw_share() { return static_cast<double>(random_() % 10'000) / 10'000; }
    duration draw_time(duration most) {
        return duration(
            static_cast<std::int64_t>(draw_share() * static_cast<double>(most.count())));
    }

    void start_host(std::size_t index) {
        hosts_[index] = std::make_unique<sim_host>(
            time_, store_, fleet_, [this] { return draw_share(); },
            "host-" + std::to_string(index) + "#" + std::to_string(++process_starts_), settings_,
            make_config(), link_of(index));
        if (processor_share_)
            hosts_[index]->processor().limit_to(*processor_share_);
    }
    /// Limits the processor of every host to a share of a core, also after a restart.
    void limit_processors(double share) {
        processor_share_ = share;
        for (const auto& host : hosts_)
            if (host)
                host->processor().limit_to(share);
    }
    void kill_host(std::size_t index) {
        const auto leading = newest_leader();
        if (!leading || *leading == index)
            coordinator_killed_at_ = time_.now();
        hosts_[index].reset();
    }
    /// When a host was last killed that was the coordinator, or that might have become it because
    /// there was none.
    instant coordinator_killed_at() const { return coordinator_killed_at_; }
    /// The index of the host that is the coordinator and has finished taking over, if any.
    std::optional<std::size_t> coordinator() const {
        for (std::size_t index = 0; index < hosts_.size(); ++index)
            if (hosts_[index] && hosts_[index]->member().coordinating() != nullptr &&
                hosts_[index]->member().election().is_leader())
                return index;
        return std::nullopt;
    }

    /// Of the hosts that consider themselves the leader, the one with the highest epoch, if any.
    std::optional<std::size_t> newest_leader() const {
        std::optional<std::size_t> newest;
        for (std::size_t index = 0; index < hosts_.size(); ++index) {
            if (!hosts_[index] || !hosts_[index]->member().election().is_leader())
                continue;
            if (!newest || epoch_of(index) > epoch_of(*newest))
                newest = index;
        }
        return newest;
    }

    void add_worker(const std::string& name) {
        sim_fleet::entry& entry = fleet_.workers[name];
        entry.listing.id = worker_id(name);
        entry.listing.service = service_id("s");
        entry.listing.capacity = {4000, 16'384, 0};
        entry.listing.data_centre = data_centre_id("dc-" + std::to_string(random_() % 2));
        entry.listing.address = {name, 1};
        checker_.capacities[name] = entry.listing.capacity;
        entry.worker = std::make_unique<sim_worker>(
            time_, checker_, name, 0.98 + 0.02 * draw_share(), settings_.max_granted_lease);
        entry.worker->max_listed_ends = max_listed_ends_;
        list_worker(name, "ready");
    }
    /// Limits how many ended runs a worker lists in a report.
    void limit_listed_ends(std::size_t limit) {
        max_listed_ends_ = limit;
        for (const auto& [name, entry] : fleet_.workers)
            entry.worker->max_listed_ends = limit;
    }
    /// How a worker returns some seconds after a task has crashed it.
    enum class worker_return { same_id, new_id };
    void return_crashed_workers(worker_return how) {
        checker_.after_crash = [this, how](const std::string& name) {
            if (how == worker_return::same_id)
                time_.after(crash_time, [this, name] { restart_worker(name); });
            else
                replace_worker(name);
        };
    }
    /// Whether another worker has taken the place of a crashed one, which never returns.
    bool is_replaced(const std::string& name) const { return replaced_.contains(name); }
    /// Begins a new life of a worker, unless another one has taken its place.
    void restart_worker(const std::string& name) {
        if (!is_replaced(name))
            fleet_.workers.at(name).worker->reborn();
    }
    void list_worker(const std::string& name, const std::string& state) {
        if (is_replaced(name))
            return;
        store_.append(cell_stream::workers, {{name, state, 0}}, {});
    }
    /// Changes a worker's capacity, which the platform's list shows with the next heartbeat.
    void resize_worker(const std::string& name, const resources& capacity) {
        constexpr duration heartbeat = std::chrono::milliseconds(1100);
        checker_.resize(name, capacity);
        time_.after(draw_time(heartbeat), [this, name] {
            if (is_replaced(name))
                return;
            // Of two changes in a row the later one is listed, whichever heartbeat comes first.
            fleet_.workers.at(name).listing.capacity = checker_.capacities.at(name);
            const auto& newest = store_.of(cell_stream::workers).newest;
            if (const auto row = newest.find(name); row != newest.end())
                list_worker(name, row->second.value.value_or("ready"));
        });
    }
    void unlist_worker(const std::string& name) {
        store_.append(cell_stream::workers, {{name, std::nullopt, 0}}, {});
    }

    /// Whether the platform's worker list shows the worker as ready for work.
    bool is_listed_ready(const std::string& name) {
        const auto& newest = store_.of(cell_stream::workers).newest;
        const auto row = newest.find(name);
        return row != newest.end() && row->second.value == "ready";
    }

    /// Submits a job through a host. The result is set when the host has answered the caller.
    std::shared_ptr<std::optional<intake_outcome>> submit(std::size_t host, const std::string& id,
                                                          const job_spec& spec) {
        checker_.jobs[id] = {spec, std::nullopt};
        return write(host, {{record_key(record_kind::job, id), encode_job(spec), 0}});
    }
    void cancel(std::size_t host, const std::string& id) {
        const auto told = write(host, {{record_key(record_kind::cancellation, id), "1", 0}});
        watch_cancel(id, told);
    }
    /// The entry of a job on a host that is a read replica, or null.
    const job_entry* job(std::size_t host, const std::string& id) {
        return hosts_.at(host)->member().state().find(job_id(id));
    }
    /// The answer of a host that is no read replica to a caller with a timeout of 3 s.
    std::optional<job_entry> query_job(std::size_t host, const std::string& id) {
        constexpr duration patience = std::chrono::seconds(3);
        constexpr duration step = std::chrono::milliseconds(1);
        const auto told = std::make_shared<std::optional<job_answer>>();
        const instant end = time_.now() + patience;
        hosts_.at(host)->member().jobs().find(job_id(id), end,
                                              [told](const job_answer& answer) { *told = answer; });
        // Stop as soon as there is an answer, since ended jobs are forgotten after a while.
        while (!*told && time_.now() < end)
            time_.run_for(step);
        if (!*told || (*told)->outcome != job_answer::kind::found)
            return std::nullopt;
        return (*told)->job;
    }

    static job_spec make_job(std::vector<step_spec> steps) {
        job_spec job;
        job.queue = queue_name("q");
        job.service = service_id("s");
        job.attempts = 3;
        job.stretch = 2;
        job.payload = "p";
        job.steps = std::move(steps);
        return job;
    }
    static step_spec make_step(std::uint32_t tasks, std::int64_t cpu_millis) {
        step_spec step;
        step.tasks = tasks;
        step.size = {cpu_millis, 512, 0};
        step.estimate = std::chrono::milliseconds(500);
        return step;
    }

private:
    /// How long a crashed worker takes to return, and its entry to expire.
    static constexpr duration crash_time = std::chrono::milliseconds(3200);

    /// Another worker starts at the address of a crashed one, whose entry expires.
    void replace_worker(const std::string& name) {
        replaced_.insert(name);
        checker_.capacities.erase(name);
        time_.after(crash_time, [this, name] {
            const std::string successor = "w" + std::to_string(fleet_.workers.size());
            add_worker(successor);
            fleet_.workers.at(successor).listing.address = fleet_.workers.at(name).listing.address;
            unlist_worker(name);
        });
    }
    static std::string address_of(std::size_t host) { return "host-" + std::to_string(host); }
    sim_link link_of(std::size_t host) {
        if (!linked_)
            return {};
        constexpr std::uint32_t carried = 3;
        constexpr double small_share = 0.12;
        const bool is_strong = host < strong_;
        return {&peers_, address_of(host), data_centre_id("dc-" + std::to_string(host % 2)),
                is_strong ? carried : 1, is_strong ? 1 : small_share};
    }
    static cell_config make_config() {
        cell_config config;
        config.version = config_version(1);
        config.queues.push_back(
            {queue_name("q"), "h", "/q/", service_id("s"), 0, 3, 2, duration{}, std::nullopt});
        config.queues.push_back(
            {queue_name("advised"), "h", "/advised/", service_id("s"), 0, 3, 2, duration{},
             advisor_settings{std::chrono::milliseconds(20), duration{}, sim_policy::validity}});
        config.services.push_back({service_id("s"), false, false});
        return config;
    }
    lease_epoch epoch_of(std::size_t index) const {
        return hosts_[index]->member().election().epoch();
    }
    std::shared_ptr<std::optional<intake_outcome>> write(std::size_t host,
                                                         std::vector<stored_record> records) {
        auto told = std::make_shared<std::optional<intake_outcome>>();
        hosts_.at(host)->member().writer().write(
            std::move(records), time_.now() + std::chrono::seconds(3),
            [told](intake_outcome what, std::uint64_t) { *told = what; });
        return told;
    }
    void watch_cancel(const std::string& id,
                      const std::shared_ptr<std::optional<intake_outcome>>& told) {
        time_.after(std::chrono::milliseconds(10), [this, id, told] {
            if (!told->has_value())
                return watch_cancel(id, told);
            if (**told == intake_outcome::stored)
                checker_.jobs.at(id).cancel_stored = time_.now();
        });
    }

    cell_settings settings_;
    std::size_t max_listed_ends_ = 500;
    bool linked_;
    std::size_t strong_;
    std::mt19937_64 random_;
    sim_time time_;
    sim_peers peers_{time_};
    sim_store store_;
    sim_fleet fleet_;
    invariant_checker checker_;
    std::vector<std::unique_ptr<sim_host>> hosts_;
    std::optional<double> processor_share_;
    std::set<std::string> replaced_;
    int process_starts_ = 0;
    instant coordinator_killed_at_{};
};

} // namespace figwinch::sim
