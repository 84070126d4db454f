#include "tests/scheduler/one_worker_region.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace figwinch::testing {
namespace {

using namespace std::chrono_literals;

/// Where a task that has failed runs again, and when its job ends.
class retry_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(retry_test);
    CPPUNIT_TEST(a_job_with_more_attempts_than_workers_ends);
    CPPUNIT_TEST(a_job_ends_though_a_worker_that_is_left_is_silent);
    CPPUNIT_TEST(a_bad_worker_uses_up_no_job_while_another_is_full);
    CPPUNIT_TEST(a_bad_worker_uses_up_no_job_while_another_isnt_held_yet);
    CPPUNIT_TEST(a_task_takes_no_trial_of_a_worker_on_which_it_failed);
    CPPUNIT_TEST_SUITE_END();

    one_worker_region region_;
    standin::worker_model& other_ = region_.add_worker("x");
    std::unique_ptr<failure_policy> failures_ = failure_policy::create({});

    void launch() {
        region_.launch({nullptr, failures_.get(), nullptr});
        region_.run_for(1s);
    }

    const job_record* job(const std::string& id) const {
        return region_.core->fold().find(make_job_key("studio", id));
    }
    bool failed(const std::string& id) const {
        const job_record* known = job(id);
        return known != nullptr && known->is_done() &&
               known->tasks.at(0).end == pb::TASK_END_FAILED;
    }
    bool finished(const std::string& id) const {
        const job_record* known = job(id);
        return known != nullptr && known->is_done() && !failed(id);
    }

    static int starts(const standin::worker_model& worker, const std::string& id) {
        const auto known =
            worker.histories().find(make_task_id(make_job_key("studio", id), 0).str());
        return known == worker.histories().end() ? 0 : known->second.starts;
    }

    // Guards against a task that waits for a worker on which it hasn't failed, where there is none.
    void a_job_with_more_attempts_than_workers_ends() {
        region_.worker.fail_all(true);
        other_.fail_all(true);
        launch();
        region_.submit("broken", 100);
        region_.run_for(60s);
        CPPUNIT_ASSERT(failed("broken"));
        CPPUNIT_ASSERT_EQUAL(3, starts(region_.worker, "broken") + starts(other_, "broken"));
        CPPUNIT_ASSERT(starts(region_.worker, "broken") > 0 && starts(other_, "broken") > 0);
    }

    // Guards against a task that waits for a worker that the manifest declares and that is dead.
    void a_job_ends_though_a_worker_that_is_left_is_silent() {
        region_.worker.fail_all(true);
        region_.deaf.insert(worker_id("x"));
        launch();
        region_.submit("broken", 100);
        region_.run_for(60s);
        CPPUNIT_ASSERT(failed("broken"));
        CPPUNIT_ASSERT_EQUAL(3, starts(region_.worker, "broken"));
    }

    // Guards against a bad worker that is always free and fails a job for good while the sound ones
    // are busy.
    void a_bad_worker_uses_up_no_job_while_another_is_full() {
        region_.worker.fail_all(true);
        region_.deaf.insert(worker_id("w"));
        launch();
        region_.submit("long-0", 60'000);
        region_.submit("long-1", 60'000);
        region_.run_for(4s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, other_.running().size());
        region_.deaf.clear();
        region_.submit("pass", 100);
        region_.run_for(40s);
        CPPUNIT_ASSERT_EQUAL(1, starts(region_.worker, "pass"));
        CPPUNIT_ASSERT(!job("pass")->is_done());
        region_.run_for(40s);
        CPPUNIT_ASSERT(finished("pass"));
        CPPUNIT_ASSERT_EQUAL(1, starts(region_.worker, "pass"));
    }

    // Guards against a job failed for good by the first worker of which the scheduler gets hold.
    void a_bad_worker_uses_up_no_job_while_another_isnt_held_yet() {
        region_.worker.fail_all(true);
        region_.deaf.insert(worker_id("x"));
        launch();
        region_.submit("pass", 100);
        region_.run_for(6s);
        CPPUNIT_ASSERT_EQUAL(1, starts(region_.worker, "pass"));
        region_.deaf.clear();
        region_.run_for(20s);
        CPPUNIT_ASSERT(finished("pass"));
        CPPUNIT_ASSERT_EQUAL(1, starts(region_.worker, "pass"));
    }

    // Guards against broken jobs that take each trial of a sound worker from the jobs after them.
    void a_task_takes_no_trial_of_a_worker_on_which_it_failed() {
        region_.worker.fail_all(true);
        other_.fail_all(true);
        launch();
        for (const char* id : {"a", "b", "c"})
            region_.submit(id, 100);
        region_.run_for(20s);
        const auto quarantined = [this](const char* worker) {
            return failures_->is_quarantined(worker_id(worker), region_.time.now());
        };
        CPPUNIT_ASSERT(quarantined("w") && quarantined("x"));
        const auto all_starts = [this] {
            int sum = 0;
            for (const char* id : {"a", "b", "c"})
                sum += starts(region_.worker, id) + starts(other_, id);
            return sum;
        };
        const int before = all_starts();
        region_.run_for(3min);
        CPPUNIT_ASSERT_EQUAL(before, all_starts());
        region_.worker.fail_all(false);
        other_.fail_all(false);
        region_.submit("sound", 100);
        region_.run_for(10s);
        CPPUNIT_ASSERT(finished("sound"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_test);

} // namespace
} // namespace figwinch::testing
