// What one start costs the coordinator in processor time while jobs wait, by the number of jobs
// beyond those that there is room for. Only the calls into the coordinator and its progress writer
// are measured; the simulated workers and log are not, nor are the host's connections and its
// replica.

#include "bench/bench_report.h"
#include "bench/measured_log.h"
#include "bench/measured_orders.h"
#include "figwinch/simulation/sim_advisor.h"
#include "figwinch/simulation/sim_orders.h"
#include "figwinch/simulation/sim_store.h"

#include <random>

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t workers = 1'800;
constexpr std::size_t service_jobs = 350;
constexpr std::size_t service_images = 16;
constexpr std::size_t batch_images = 30;
constexpr std::size_t tasks_per_job = 80;
/// Number of batch jobs that the workers have room for.
constexpr std::size_t jobs_with_room = 230;
/// Rate at which jobs are submitted if none is to wait: about 85% of what there is room for.
constexpr double jobs_per_s = 45;
constexpr duration tick_period = milliseconds(8);
constexpr duration services_warm_up = seconds(4);
constexpr duration backlog_warm_up = seconds(3);
/// After this time more the first jobs of the backlog are overdue.
constexpr duration overdue_warm_up = seconds(7);
constexpr int measured_s = 2;

step_spec make_service_step(std::size_t job) {
    step_spec step;
    step.tasks = 24;
    step.size = {3'200, 6'400, 0};
    step.estimate = seconds(1);
    step.is_service = true;
    step.latency_target = milliseconds(50);
    step.image = "service-" + std::to_string(job % service_images);
    return step;
}

/// Jobs differ in the size of their tasks.
step_spec make_batch_step(std::size_t job) {
    const auto part = static_cast<std::int64_t>(job * 37 % 101);
    step_spec step;
    step.tasks = tasks_per_job / 2;
    step.size = {1'300 + part * 10, 2'400 + part * 16, 0};
    step.estimate = seconds(2);
    step.is_best_effort = true;
    step.image = "batch-" + std::to_string(job % batch_images);
    return step;
}

/// Draws the run times of tasks, and counts the runs of each batch job.
class job_watch final : public worker_watch {
public:
    void on_start(const std::string&, const start_order& order, bool) override {
        if (is_batch(order.task))
            ++jobs_.at(job_of(order.task)).running;
    }
    void on_end(const std::string&, const std::string& task, run_number, run_end how) override {
        if (!is_batch(task))
            return;
        job_runs& job = jobs_.at(job_of(task));
        --job.running;
        job.done += how == run_end::done ? 1 : 0;
        ended_ += how == run_end::done && job.done == tasks_per_job ? 1 : 0;
    }
    void on_noted(const std::string&, const ended_run&) override {}
    duration length_of(const std::string& task) override {
        return is_batch(task) ? milliseconds(1'000 + random_() % 2'000) : duration(-1);
    }
    bool fails(const std::string&) override { return false; }
    const step_spec& step_of(const std::string& task) const override {
        return is_batch(task) ? jobs_.at(job_of(task)).step : service_step_;
    }

    std::size_t add_job() {
        const std::size_t index = jobs_.size();
        jobs_.push_back({make_batch_step(index)});
        return index;
    }
    std::size_t open_jobs() const { return jobs_.size() - ended_; }
    /// Number of open jobs that have no run.
    std::size_t waiting_jobs() const {
        return static_cast<std::size_t>(std::ranges::count_if(jobs_, [](const job_runs& job) {
            return job.running == 0 && job.done < tasks_per_job;
        }));
    }

private:
    struct job_runs {
        step_spec step;
        std::size_t running = 0;
        std::size_t done = 0;
    };

    static bool is_batch(const std::string& task) { return task.starts_with("batch"); }
    static std::size_t job_of(const std::string& task) {
        return std::stoul(task.substr(std::string_view("batch").size()));
    }

    std::vector<job_runs> jobs_;
    std::size_t ended_ = 0;
    std::mt19937_64 random_{3};
    step_spec service_step_ = make_service_step(0);
};

/// A coordinator with its workers. Service tasks take most of the CPU; best-effort batch jobs use
/// what they leave.
class loaded_coordinator {
public:
    /// `backlog`: the number of open batch jobs is kept at this many more than there is room for.
    /// 0: jobs are submitted at a steady rate that leaves room.
    explicit loaded_coordinator(std::size_t backlog) : backlog_(backlog) {
        for (std::size_t index = 0; index < workers; ++index)
            add_worker("w" + std::to_string(index));
        coordinator_->apply_config(make_config());
        std::vector<worker_listing> listings;
        for (const auto& [name, entry] : fleet_.workers)
            listings.push_back(entry.listing);
        coordinator_->update_workers(listings);
        for (std::size_t index = 0; index < service_jobs; ++index)
            submit("service" + std::to_string(index), {make_service_step(index)});
        tick();
        time_.run_for(services_warm_up);
        submits_batch_ = true;
    }

    void run_for(duration span) { time_.run_for(span); }

    /// Reports what the starts of the next seconds cost; `suffix` tells the metrics from others.
    void measure(const bench_report& out, std::string_view suffix) {
        const coordinator_counts before = coordinator_->counts();
        const double us_before = stopwatch_.total_us();
        const std::size_t ticks_before = ticks_;
        waiting_sum_ = 0;
        time_.run_for(seconds(measured_s));
        const coordinator_counts after = coordinator_->counts();
        const double us = stopwatch_.total_us() - us_before;
        const auto starts = static_cast<double>(after.starts - before.starts);
        const auto add = [&](std::string metric, double value, std::string_view unit) {
            out.add(metric.append(suffix), static_cast<std::int64_t>(backlog_), value, unit);
        };
        const auto add_count = [&](const std::string& metric, std::uint64_t first,
                                   std::uint64_t last) {
            add(metric, static_cast<double>(last - first) / starts, "/start");
        };
        add("processor", us / starts, "us/start");
        add("core", us / measured_s * 1e-6, "cores");
        add("starts", starts / measured_s, "starts/s");
        add("waiting jobs",
            static_cast<double>(waiting_sum_) / static_cast<double>(ticks_ - ticks_before), "jobs");
        add_count("jobs examined", before.jobs_examined, after.jobs_examined);
        add_count("workers examined", before.workers_examined, after.workers_examined);
        add_count("rounds", before.placement_rounds, after.placement_rounds);
        add_count("rounds cut short", before.rounds_cut_short, after.rounds_cut_short);
    }

private:
    static cell_config make_config() {
        cell_config config;
        config.version = config_version(1);
        config.queues.push_back(
            {queue_name("q"), "h", "/q/", service_id("s"), 2, 4, 2, seconds(1), std::nullopt});
        config.services.push_back({service_id("s"), false, false});
        return config;
    }

    void add_worker(const std::string& name) {
        sim_fleet::entry& entry = fleet_.workers[name];
        entry.listing.id = worker_id(name);
        entry.listing.service = service_id("s");
        entry.listing.capacity = {16'000, 64'000, 0};
        entry.listing.data_centre = data_centre_id("dc-" + std::to_string(random_() % 5));
        entry.listing.address = {name, 1};
        entry.worker =
            std::make_unique<sim_worker>(time_, watch_, name, 1, cell_settings{}.max_granted_lease);
        entry.worker->slowdown_per_core = 0.01;
        entry.listing.incarnation = entry.worker->born_ms();
    }
    void submit(const std::string& id, std::vector<step_spec> steps) {
        job_spec spec;
        spec.queue = queue_name("q");
        spec.service = service_id("s");
        spec.priority = 2;
        spec.attempts = 4;
        spec.stretch = 2;
        spec.target = seconds(1);
        spec.payload = "p";
        spec.steps = std::move(steps);
        job_entry entry;
        entry.id = job_id(id);
        entry.spec = std::make_shared<const job_spec>(std::move(spec));
        entry.intake_offset = submitted_++;
        stopwatch_.resume();
        coordinator_->apply_intake(entry);
        stopwatch_.pause();
    }
    void submit_batch_job() {
        const std::size_t index = watch_.add_job();
        step_spec second = make_batch_step(index);
        second.depends_on = {0};
        submit("batch" + std::to_string(index), {make_batch_step(index), second});
    }
    void submit_batch_jobs() {
        if (backlog_ > 0) {
            while (watch_.open_jobs() < backlog_ + jobs_with_room)
                submit_batch_job();
            return;
        }
        const std::chrono::duration<double> period = tick_period;
        for (due_jobs_ += jobs_per_s * period.count(); due_jobs_ >= 1; --due_jobs_)
            submit_batch_job();
    }
    void tick() {
        ++ticks_;
        if (submits_batch_)
            submit_batch_jobs();
        waiting_sum_ += watch_.waiting_jobs();
        stopwatch_.resume();
        coordinator_->tick();
        progress_writer_.tick();
        stopwatch_.pause();
        time_.after(tick_period, [this] { tick(); });
    }

    std::size_t backlog_;
    sim_time time_;
    job_watch watch_;
    std::mt19937_64 random_{3};
    std::function<double()> draw_ = [this] {
        return static_cast<double>(random_() % 10'000) / 10'000;
    };
    sim_store store_;
    sim_fleet fleet_;
    processor_stopwatch stopwatch_;
    sim_log sim_log_{time_, store_, draw_};
    sim_orders sim_orders_{time_, fleet_, draw_};
    sim_advisor advisor_{time_, fleet_.policy};
    measured_log log_{sim_log_, stopwatch_};
    measured_orders orders_{sim_orders_, stopwatch_};
    progress_writer progress_writer_{time_.clock(),
                                     log_,
                                     lease_epoch(1),
                                     record_limits(cell_settings{}.max_record_bytes),
                                     [](const stored_record&) {},
                                     [] {}};
    std::unique_ptr<coordinator> coordinator_ = coordinator::create(
        {time_.clock(), orders_, advisor_, progress_writer_, [this] { return time_.now(); },
         [] { return true; }, [] { return true; }, [] {},
         [](const job_id&, const std::function<void()>& done) { done(); }},
        {}, lease_epoch(1), {}, cell_state());
    std::uint64_t submitted_ = 0;
    bool submits_batch_ = false;
    double due_jobs_ = 0;
    std::size_t ticks_ = 0;
    std::size_t waiting_sum_ = 0;
};

} // namespace
} // namespace figwinch::sim

FIGWINCH_BENCH(cell_backlog) {
    using namespace figwinch::sim;
    for (const std::size_t backlog : {0U, 500U, 2'000U, 5'000U}) {
        loaded_coordinator loaded(backlog);
        loaded.run_for(backlog_warm_up);
        loaded.measure(out, "");
        loaded.run_for(overdue_warm_up);
        loaded.measure(out, ", jobs overdue");
    }
}
