#include "tests/scheduler/one_worker_region.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace figwinch::testing {
namespace {

using namespace std::chrono_literals;

/// What a scheduler must not forget, and what it must not remember for ever.
class core_memory_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(core_memory_test);
    CPPUNIT_TEST(a_finished_manifest_job_outlives_the_retention_of_the_log);
    CPPUNIT_TEST(a_finished_manifest_job_is_not_crowded_out);
    CPPUNIT_TEST(a_manifest_job_that_was_removed_is_forgotten_in_the_end);
    CPPUNIT_TEST(callers_cannot_take_the_id_of_a_manifest_job);
    CPPUNIT_TEST(an_accepted_job_outlives_owners_that_change_often);
    CPPUNIT_TEST(a_quarantined_worker_is_tried_again);
    CPPUNIT_TEST_SUITE_END();

    one_worker_region region_;

    void declare_master() {
        job_spec master;
        master.name = job_id("master");
        master.customer = customer_id("studio");
        master.size = {1000, 512, 0};
        master.work = 2s;
        region_.config.jobs.push_back(master);
    }

    int starts_of_masters() const {
        int starts = 0;
        for (const auto& [task, history] : region_.worker.histories()) {
            if (task.find("manifest:master") != std::string::npos)
                starts += history.starts;
        }
        return starts;
    }

    void finish_master() {
        region_.launch({});
        region_.run_for(20s);
        CPPUNIT_ASSERT_EQUAL(1, starts_of_masters());
        CPPUNIT_ASSERT(region_.worker.running().empty());
    }

    // The manifest declares a master for weeks. It finished on the first day; the log drops the
    // records that say so, a scheduler is replaced, and the studio gets its master twice.
    void a_finished_manifest_job_outlives_the_retention_of_the_log() {
        declare_master();
        region_.settings.snapshot_every = 20s;
        region_.retention = 60s;
        finish_master();
        for (int replaced = 0; replaced < 3; ++replaced) {
            region_.run_for(2min);
            region_.launch({});
        }
        region_.run_for(2min);
        CPPUNIT_ASSERT_EQUAL(1, starts_of_masters());
        region_.submit("pass", 100);
        region_.run_for(10s);
        CPPUNIT_ASSERT(region_.last_answer.ok());
        const job_record* pass = region_.core->fold().find(make_job_key("studio", "pass"));
        CPPUNIT_ASSERT(pass != nullptr && pass->is_done());
    }

    // After the master of the manifest, the studio's other jobs finish in numbers larger than a
    // scheduler remembers; the declared master must not be taken for a new one.
    void a_finished_manifest_job_is_not_crowded_out() {
        declare_master();
        region_.settings.keep_done_jobs = 3;
        finish_master();
        for (int i = 0; i < 10; ++i) {
            region_.submit("pass-" + std::to_string(i), 100);
            region_.run_for(6s);
        }
        CPPUNIT_ASSERT_EQUAL(1, starts_of_masters());
        CPPUNIT_ASSERT(region_.core->fold().find(make_job_key("studio", "pass-0")) == nullptr);
    }

    void a_manifest_job_that_was_removed_is_forgotten_in_the_end() {
        declare_master();
        region_.settings.keep_done_jobs = 3;
        finish_master();
        region_.config.jobs.clear();
        region_.publish();
        region_.run_for(5s);
        for (int i = 0; i < 4; ++i) {
            region_.submit("pass-" + std::to_string(i), 100);
            region_.run_for(6s);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, region_.core->fold().jobs().size());
    }

    void callers_cannot_take_the_id_of_a_manifest_job() {
        region_.launch({});
        region_.run_for(1s);
        region_.submit("manifest:master:1", 100);
        CPPUNIT_ASSERT(code_of(region_.last_answer) == result_code::invalid_value);
    }

    // Each owner of a render is replaced before it has written the render to the log again, for
    // longer than the log keeps records. No process knows of the render any more; the studio was
    // told that it was accepted.
    void an_accepted_job_outlives_owners_that_change_often() {
        region_.settings.snapshot_every = 60s;
        region_.retention = 180s;
        region_.launch({});
        region_.run_for(1s);
        region_.submit("render", 3'600'000);
        region_.run_for(5s);
        CPPUNIT_ASSERT(region_.last_answer.ok());
        for (int replaced = 0; replaced < 6; ++replaced) {
            region_.launch({});
            region_.run_for(50s);
        }
        CPPUNIT_ASSERT(region_.core->fold().find(make_job_key("studio", "render")) != nullptr);
    }

    // A worker fails the first tasks of three jobs, because its scratch disk is full; somebody
    // clears the disk. Its quarantine ends, and the region's only worker must take work again.
    void a_quarantined_worker_is_tried_again() {
        const auto failures = failure_policy::create({});
        region_.launch({nullptr, failures.get(), nullptr});
        region_.run_for(1s);
        region_.worker.fail_all(true);
        for (int i = 0; i < 3; ++i) {
            region_.submit("pass-" + std::to_string(i), 100);
            region_.run_for(8s);
        }
        CPPUNIT_ASSERT(failures->is_quarantined(worker_id("w"), region_.time.now()));
        region_.worker.fail_all(false);
        region_.submit("later", 100);
        region_.run_for(3min);
        const job_record* later = region_.core->fold().find(make_job_key("studio", "later"));
        CPPUNIT_ASSERT(later != nullptr && later->is_done());
        CPPUNIT_ASSERT(!failures->is_quarantined(worker_id("w"), region_.time.now()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(core_memory_test);

} // namespace
} // namespace figwinch::testing
