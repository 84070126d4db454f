#include "tests/scheduler/one_worker_region.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

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

    one_worker_region region_;
    scripted_controller controller_;
    standin::worker_model& worker_ = region_.worker;

    void run_for(duration length) { region_.run_for(length); }

    void start_render() {
        region_.launch({nullptr, nullptr, &controller_});
        run_for(1s);
        region_.submit("render", 3'600'000);
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
        region_.core->on_latency(report, region_.time.now());
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
