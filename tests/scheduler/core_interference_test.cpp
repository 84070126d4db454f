#include "scheduler/scheduler_core.h"
#include "tests/scheduler/fake_config_view.h"
#include "tools/standin_worker/worker_model.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>

namespace figwinch::testing {
namespace {

using namespace std::chrono_literals;

/// Does what the test says.
class scripted_controller final : public interference_controller {
public:
    void observe_latency(const std::string& host, const service_id&, duration, duration,
                         std::int64_t, instant) override {
        observed = host;
    }
    std::vector<interference_action>
    decide(const std::string&, const std::vector<batch_neighbour>& tasks, instant) override {
        std::vector<interference_action> out;
        out.reserve(tasks.size());
        for (const batch_neighbour& one : tasks)
            out.push_back({one.task, step, percent});
        if (step == interference_step::evict && !tasks.empty())
            step = interference_step::throttle;
        return out;
    }
    double penalty(const std::string&, const template_id&, instant) const override { return 0; }

    std::string observed;
    interference_step step = interference_step::throttle;
    int percent = 100;
};

class core_interference_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(core_interference_test);
    CPPUNIT_TEST(a_reference_pass_that_slows_down_throttles_its_neighbour);
    CPPUNIT_TEST(an_evicted_task_resumes_from_its_checkpoint_later);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char* task = "studio/render/0";

    manual_clock time_;
    fake_config_view config_;
    scripted_controller controller_;
    std::unique_ptr<scheduler_core> core_;
    standin::worker_model worker_{{worker_id("w"), {4000, 8192, 0}}, time_.now()};
    std::vector<std::string> log_;

    void launch() {
        auto config = std::make_shared<manifest>();
        config->data_centres.push_back({data_centre_id("dc"), true});
        worker_spec worker;
        worker.name = worker_id("w");
        worker.data_centre = data_centre_id("dc");
        worker.capacity = {4000, 8192, 0};
        worker.host = "host";
        config->workers.push_back(worker);
        executor_spec executor;
        executor.name = executor_id("executor");
        executor.host = "host";
        config->executors.push_back(executor);
        config_.set(config, config_version(1));
        scheduler_settings with;
        with.self.node = node_id("s");
        with.self.incarnation = incarnation_id("s#1");
        with.self.data_centre = data_centre_id("dc");
        core_ = std::make_unique<scheduler_core>(
            with, config_, scheduler_policies{nullptr, nullptr, &controller_}, time_.now());
    }

    void step() {
        time_.advance(200ms);
        const instant now = time_.now();
        config_.evidence().note_confirmed(now);
        log_page page;
        page.next = log_offset(log_.size() + 1);
        for (std::size_t i = core_->next_offset().value() - 1; i < log_.size(); ++i)
            page.records.push_back({log_offset(i + 1), log_[i]});
        core_->on_jobs_page(page, now, now);
        scheduler_actions actions = core_->tick(now);
        if (actions.append) {
            log_.push_back(actions.append->payload);
            core_->on_append_outcome(append_outcome::acknowledged, now);
        }
        for (const worker_command& command : actions.commands)
            core_->on_worker_reply(command.token, worker_.handle(command.body, now), now);
    }

    void run_for(duration length) {
        const instant end = time_.now() + length;
        while (time_.now() < end)
            step();
    }

    void start_render() {
        launch();
        run_for(1s);
        pb::JobSpec spec;
        spec.set_id("render");
        spec.set_customer("studio");
        spec.mutable_size()->set_cpu_millis(2000);
        spec.mutable_size()->set_memory_mib(1024);
        spec.set_tasks(1);
        spec.set_work_ms(3'600'000);
        spec.set_checkpointable(true);
        core_->submit(
            spec, [](const absl::Status&, const pb::JobView&) {}, time_.now());
        run_for(2s);
        CPPUNIT_ASSERT(worker_.running().contains(task));
    }

    void report_slow_host() {
        pb::LatencyReport report;
        pb::LatencyReport::Executor& seen = *report.add_executors();
        seen.set_name("executor");
        seen.set_p99_us(500'000);
        seen.set_target_us(100'000);
        seen.set_samples(100);
        core_->on_latency(report, time_.now());
        CPPUNIT_ASSERT_EQUAL(std::string("host"), controller_.observed);
    }

    // A render shares its host with reference passes, which get slow. Entries report the executor's
    // latency; the render on that host is slowed down.
    void a_reference_pass_that_slows_down_throttles_its_neighbour() {
        start_render();
        run_for(6s);
        controller_.percent = 50;
        report_slow_host();
        run_for(2s);
        CPPUNIT_ASSERT_EQUAL(50, worker_.running().at(task).throttle_percent);
    }

    // The render is evicted. It would fit its old host best at once; it starts there only after a
    // while, once, and with the work that its checkpoint holds.
    void an_evicted_task_resumes_from_its_checkpoint_later() {
        start_render();
        run_for(6s);
        controller_.step = interference_step::evict;
        report_slow_host();
        run_for(10s);
        CPPUNIT_ASSERT(worker_.running().empty());
        run_for(30s);
        CPPUNIT_ASSERT(worker_.running().contains(task));
        CPPUNIT_ASSERT_EQUAL(2, worker_.histories().at(task).starts);
        CPPUNIT_ASSERT(worker_.running().at(task).resumed_ms >= 5000);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(core_interference_test);

} // namespace
} // namespace figwinch::testing
