#pragma once

#include "scheduler/scheduler_core.h"
#include "tests/scheduler/fake_config_view.h"
#include "tests/scheduler/fake_jobs_log.h"
#include "tools/standin_worker/worker_model.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace figwinch::testing {

/// A scheduler's rules with one worker, one executor on the worker's host and a log, all in one
/// thread and on one clock. Nothing is lost or late; tests change `config` or the log themselves,
/// and may add workers.
class one_worker_region {
public:
    static constexpr duration step_length = std::chrono::milliseconds(200);

    one_worker_region() {
        config.data_centres.push_back({data_centre_id("dc"), true});
        declare(worker.settings().name, "host");
        executor_spec executor;
        executor.name = executor_id("executor");
        executor.host = "host";
        config.executors.push_back(executor);
        settings.self.node = node_id("s");
        settings.self.data_centre = data_centre_id("dc");
    }

    /// Starts the scheduler; an earlier one is gone without a word.
    void launch(const scheduler_policies& policies) {
        publish();
        settings.self.incarnation = incarnation_id("s#" + std::to_string(++launches_));
        core = std::make_unique<scheduler_core>(settings, view_, policies, time.now());
    }

    /// A further worker of the same size, on a host of its own; to be called before `launch`.
    standin::worker_model& add_worker(const std::string& name) {
        declare(worker_id(name), "host-" + name);
        const standin::worker_model_settings with{worker_id(name), {4000, 8192, 0}};
        return more_.try_emplace(worker_id(name), with, time.now()).first->second;
    }

    /// Puts `config` into force.
    void publish() { view_.set(std::make_shared<manifest>(config), config_version(++version_)); }

    void run_for(duration length) {
        const instant end = time.now() + length;
        while (time.now() < end)
            step();
    }

    /// Submits a job of one task and returns what the caller is told, if anything yet.
    void submit(const std::string& id, std::int64_t work_ms) {
        pb::JobSpec spec;
        spec.set_id(id);
        spec.set_customer("studio");
        spec.mutable_size()->set_cpu_millis(2000);
        spec.mutable_size()->set_memory_mib(1024);
        spec.set_tasks(1);
        spec.set_work_ms(work_ms);
        spec.set_checkpointable(true);
        core->submit(
            spec, [this](const absl::Status& told, const pb::JobView&) { last_answer = told; },
            time.now());
    }

    manual_clock time;
    manifest config;
    scheduler_settings settings;
    std::unique_ptr<scheduler_core> core;
    standin::worker_model worker{{worker_id("w"), {4000, 8192, 0}}, time.now()};
    fake_jobs_log log;
    /// Records older than this are dropped by the log.
    duration retention = std::chrono::hours(24);
    absl::Status last_answer;
    /// Workers that get no command and answer none.
    std::set<worker_id> deaf;

private:
    void declare(const worker_id& name, const std::string& host) {
        worker_spec one;
        one.name = name;
        one.data_centre = data_centre_id("dc");
        one.capacity = {4000, 8192, 0};
        one.host = host;
        config.workers.push_back(one);
    }

    void carry_out(const worker_command& command, instant now) {
        if (deaf.contains(command.worker)) {
            core->on_no_worker_reply(command.token, now);
            return;
        }
        const auto other = more_.find(command.worker);
        standin::worker_model& at = other == more_.end() ? worker : other->second;
        core->on_worker_reply(command.token, at.handle(command.body, now), now);
    }

    void step() {
        time.advance(step_length);
        const instant now = time.now();
        log.expire(now - retention);
        view_.evidence().note_confirmed(now);
        read_log(now);
        scheduler_actions actions = core->tick(now);
        if (actions.append) {
            log.append(actions.append->payload, now);
            core->on_append_outcome(append_outcome::acknowledged, now);
        }
        for (const worker_command& command : actions.commands)
            carry_out(command, now);
    }

    void read_log(instant now) {
        const log_page page = log.read(core->next_offset(), 1000);
        if (core->next_offset() < page.first_kept)
            core->on_log_truncated(page.first_kept, now);
        else
            core->on_jobs_page(page, now, now);
    }

    std::map<worker_id, standin::worker_model> more_;
    fake_config_view view_;
    std::uint64_t version_ = 0;
    int launches_ = 0;
};

} // namespace figwinch::testing
