#pragma once

#include "simulation/sim_host.h"
#include "tests/cell/rule_watch.h"

#include <deque>
#include <memory>
#include <random>

namespace figwinch::sim {

/// A cell in simulated time: a store, workers, hosts, and a watch that knows the rules. Everything
/// is drawn from one seed.
class cell_world {
public:
    /// `linked`: hosts pass on orders of the coordinator, which itself carries no worker. `strong`:
    /// how many of the hosts have more than a small share of a core.
    cell_world(std::uint64_t seed, std::size_t hosts, std::size_t workers,
               const cell_settings& settings = {}, bool linked = false,
               std::optional<std::size_t> strong = {})
        : settings_(settings), linked_(linked), strong_(strong.value_or(hosts)), random_(seed),
          watch_(time_, seed + 1) {
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
    /// Cuts a host off from the others, or joins it to them again.
    void cut_from_peers(std::size_t host, bool cut) { peers_.cut(address_of(host), cut); }
    rule_watch& watch() { return watch_; }
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
            "host-" + std::to_string(index) + "#" + std::to_string(++lives_), settings_,
            make_config(), link_of(index));
    }
    void kill_host(std::size_t index) {
        const auto leading = acting();
        if (!leading || *leading == index)
            coordinator_killed_at_ = time_.now();
        hosts_[index].reset();
    }
    /// When the process that coordinated, or one of those that could have begun to, was killed
    /// last.
    instant coordinator_killed_at() const { return coordinator_killed_at_; }
    /// The host that coordinates, or nothing.
    std::optional<std::size_t> coordinator() const {
        for (std::size_t index = 0; index < hosts_.size(); ++index)
            if (hosts_[index] && hosts_[index]->member().coordinating() != nullptr &&
                hosts_[index]->member().election().leads())
                return index;
        return std::nullopt;
    }

    /// Of the hosts that think that they coordinate, the one whose claim is the newest.
    std::optional<std::size_t> acting() const {
        std::optional<std::size_t> newest;
        for (std::size_t index = 0; index < hosts_.size(); ++index) {
            if (!hosts_[index] || !hosts_[index]->member().election().leads())
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
        watch_.room[name] = entry.listing.capacity;
        entry.worker = std::make_unique<sim_worker>(time_, watch_, name, 0.98 + 0.02 * draw_share(),
                                                    settings_.max_hold);
        list_worker(name, "ready");
    }
    void list_worker(const std::string& name, const std::string& state) {
        store_.append(cell_stream::workers, {{name, state, 0}}, {});
    }
    void unlist_worker(const std::string& name) {
        store_.append(cell_stream::workers, {{name, std::nullopt, 0}}, {});
    }

    /// Whether the list names it as one that takes work.
    bool is_listed_ready(const std::string& name) {
        const auto& newest = store_.of(cell_stream::workers).newest;
        const auto row = newest.find(name);
        return row != newest.end() && row->second.value == "ready";
    }

    /// Hands a job in through a host; tells what the caller was told.
    std::shared_ptr<std::optional<intake_outcome>> submit(std::size_t host, const std::string& id,
                                                          const job_spec& spec) {
        watch_.jobs[id] = {spec, std::nullopt};
        return write(host, {{record_key(record_kind::job, id), encode_job(spec), 0}});
    }
    void cancel(std::size_t host, const std::string& id) {
        const auto told = write(host, {{record_key(record_kind::cancellation, id), "1", 0}});
        watch_cancel(id, told);
    }
    /// What a host that keeps a copy has of a job.
    const job_entry* job(std::size_t host, const std::string& id) {
        return hosts_.at(host)->member().state().find(job_id(id));
    }
    /// What a host that keeps no copy tells a caller who waits for 3 s.
    std::optional<job_entry> ask(std::size_t host, const std::string& id) {
        constexpr duration patience = std::chrono::seconds(3);
        constexpr duration step = std::chrono::milliseconds(1);
        const auto told = std::make_shared<std::optional<job_answer>>();
        const instant end = time_.now() + patience;
        hosts_.at(host)->member().jobs().find(job_id(id), end,
                                              [told](const job_answer& answer) { *told = answer; });
        // No longer than it takes: ended jobs are forgotten in time.
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
             advice_terms{std::chrono::milliseconds(20), duration{}, sim_policy::validity}});
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
                watch_.jobs.at(id).cancel_stored = time_.now();
        });
    }

    cell_settings settings_;
    bool linked_;
    std::size_t strong_;
    std::mt19937_64 random_;
    sim_time time_;
    sim_peers peers_{time_};
    sim_store store_;
    sim_fleet fleet_;
    rule_watch watch_;
    std::vector<std::unique_ptr<sim_host>> hosts_;
    int lives_ = 0;
    instant coordinator_killed_at_{};
};

} // namespace figwinch::sim
