#pragma once

#include "figwinch/base.h"
#include "scheduler/scheduler_core.h"
#include "tests/scheduler/fake_config_view.h"
#include "tests/scheduler/fake_jobs_log.h"
#include "tools/standin_worker/worker_model.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace figwinch::testing {

/// What a history may bring about.
struct history_options {
    std::uint64_t seed = 1;
    duration length = std::chrono::seconds(40);
    /// How long the log keeps records.
    duration retention = std::chrono::seconds(90);
    int jobs = 6;
    int faults = 2;
    double loss = 0.02;
    double duplication = 0.02;
    /// Whether workers refuse what has no room. Off: schedulers alone have to see to it.
    bool worker_admission = false;
    bool crashes = true;
    bool freezes = true;
    bool partitions = true;
    bool log_outages = true;
    bool worker_faults = true;
    bool drains = true;
    bool planned_stops = true;
    bool cancellations = true;
    /// When data centre 1 is taken out, to stay out until the end; zero: never.
    duration drain_at{};
    /// When every scheduler is killed at once; zero: never.
    duration kill_all_at{};
};

/// One seeded run of scheduler rules against worker rules, with messages that are lost, delayed and
/// delivered twice, and processes that die, freeze and are cut off. The invariants are checked
/// after each message that a worker handles; the first violation is kept.
class history {
public:
    explicit history(const history_options& with);
    ~history();

    /// Runs the faults, heals everything, and waits for all jobs to end.
    void run();
    /// Empty when every invariant held and every accepted job ended.
    const std::string& violation() const { return violation_; }

    int starts() const { return starts_; }
    int resumed() const { return resumed_; }
    int drains() const { return drains_; }

private:
    struct node {
        node_id name;
        data_centre_id centre;
        incarnation_id incarnation;
        int generation = 0;
        fake_config_view config;
        std::unique_ptr<scheduler_core> core;
        bool alive = false;
        bool stopping = false;
        instant frozen_until{};
        instant cut_log_until{};
        instant cut_peers_until{};
        instant cut_workers_until{};
        bool reading = false;
        instant next_read{};
        instant next_heartbeat{};
        std::map<incarnation_id, member> heard;
        std::vector<member> told;
        std::vector<std::function<void()>> backlog;
    };
    struct worker {
        worker_spec spec;
        std::unique_ptr<standin::worker_model> model;
        instant cut_until{};
        instant frozen_until{};
    };
    struct tracked_job {
        pb::JobSpec spec;
        bool accepted = false;
        bool cancelled = false;
        instant cancelled_at{};
    };
    struct event {
        instant at{};
        std::uint64_t order = 0;
        std::function<void()> call;
        bool operator<(const event& other) const {
            return std::pair(at, order) > std::pair(other.at, other.order);
        }
    };

    // history.cpp: time and processes; history_messages.cpp: messages
    void at(instant when, std::function<void()> call);
    void run_until(instant end);
    void step(node& one);
    void launch(node& one);
    void kill(node& one);
    struct process {
        std::size_t index = 0;
        int generation = 0;
    };
    struct log_answer {
        bool available = true;
        log_page page;
        std::shared_ptr<const manifest> config;
        config_version version;
    };
    process process_of(const node& one) const { return {index_of(one), one.generation}; }
    /// Runs `call` in the process if it still lives, when it is awake.
    void deliver(process to, std::function<void(node&)> call);
    /// The same after the way of a message.
    void send_to(process to, std::function<void(node&)> call);
    void answer_read(process from, instant sent_at, log_offset offset);
    void take_read(node& one, instant sent_at, const log_answer& answer);
    void answer_fence(node& peer, process from, instant asked_at, const pb::FenceQuery& query);
    static void hear(node& one, const member& peer, instant now);
    void arrive(std::size_t index, const pb::WorkerCommand& body, process from,
                std::uint64_t token);
    duration delay();
    bool chance(double probability);
    std::int64_t pick(std::int64_t low, std::int64_t high);
    void carry_out(node& one, scheduler_actions actions);
    void send_command(node& one, const worker_command& command);
    void handle_command(worker& one, const pb::WorkerCommand& command, process from,
                        std::uint64_t token);
    void append(node& one, const std::string& payload);
    void read(node& one);
    void ask_fence(node& one, const fence_ask& ask);
    void heartbeat(node& one);
    void tell_members(node& one);
    member self_of(const node& one) const;
    std::size_t index_of(const node& one) const {
        return static_cast<std::size_t>(&one - nodes_.data());
    }

    // history_plan.cpp: what happens, and what must hold
    void build();
    void plan_jobs();
    void plan_fault();
    void set_centre(const data_centre_id& centre, bool in);
    void submit(const pb::JobSpec& spec, int tries);
    void cancel(const std::string& job, int tries);
    void on_started(const worker& one, const pb::StartTask& start);
    void plan_disasters();
    void check_drained();
    void check_resume(const pb::StartTask& start);
    void check_workers(const worker& changed);
    void check_all_done();
    void heal();
    bool all_done() const;
    void violate(const std::string& what);

    history_options with_;
    std::mt19937_64 random_;
    instant now_{std::chrono::hours(1)};
    instant began_{now_};
    std::uint64_t order_ = 0;
    std::priority_queue<event> events_;
    std::vector<node> nodes_;
    std::vector<worker> workers_;
    fake_jobs_log log_;
    std::shared_ptr<manifest> manifest_;
    config_version version_{1};
    std::map<data_centre_id, instant> out_since_;
    std::map<std::string, tracked_job> jobs_;
    /// By task: the workers that run it, and attempts that have been started.
    std::map<std::string, std::set<std::pair<std::uint64_t, std::string>>> attempts_;
    std::string violation_;
    int starts_ = 0;
    int resumed_ = 0;
    int drains_ = 0;
    instant log_needed_until_{};
};

} // namespace figwinch::testing
