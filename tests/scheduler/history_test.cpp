#include "tests/scheduler/history.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

namespace figwinch::testing {
namespace {

#ifdef __SANITIZE_ADDRESS__
constexpr int histories = 100;
#else
constexpr int histories = 5000;
#endif

constexpr int max_shown = 10;

class history_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(history_test);
    CPPUNIT_TEST(a_quiet_history_ends);
    CPPUNIT_TEST(any_two_faults);
    CPPUNIT_TEST(many_faults_at_once);
    CPPUNIT_TEST(work_resumes_once_from_its_newest_checkpoint);
    CPPUNIT_TEST(a_data_centre_that_is_taken_out_is_empty_within_seconds);
    CPPUNIT_TEST(jobs_survive_every_process_and_the_end_of_retention);
    CPPUNIT_TEST_SUITE_END();

    static void run(history_options with, std::uint64_t first_seed, int count) {
        int starts = 0;
        int resumed = 0;
        std::string violations;
        int violated = 0;
        for (int i = 0; i < count; ++i) {
            with.seed = first_seed + static_cast<std::uint64_t>(i);
            history one(with);
            one.run();
            if (!one.violation().empty() && ++violated <= max_shown)
                violations += one.violation() + '\n';
            starts += one.starts();
            resumed += one.resumed();
        }
        std::cout << count << " histories from seed " << first_seed << ": " << starts << " starts, "
                  << resumed << " resumed from a checkpoint, " << violated << " violated\n";
        CPPUNIT_ASSERT_EQUAL(std::string(), violations);
    }

    void a_quiet_history_ends() {
        history_options with;
        with.faults = 0;
        with.loss = 0;
        with.duplication = 0;
        run(with, 1, 20);
    }

    // Operators take a data centre out while it is full. Its tasks are checkpointed and resume in
    // the other one; nothing is left running after ten seconds.
    void a_data_centre_that_is_taken_out_is_empty_within_seconds() {
        history_options with;
        with.faults = 0;
        with.jobs = 10;
        with.worker_faults = false;
        with.partitions = false;
        with.drain_at = std::chrono::seconds(12);
        run(with, 300'000, histories / 20);
    }

    // Every scheduler dies at once, after the log has dropped the records by which most jobs were
    // accepted. Processes that know nothing find the jobs in snapshots.
    void jobs_survive_every_process_and_the_end_of_retention() {
        history_options with;
        with.faults = 0;
        with.length = std::chrono::seconds(80);
        with.jobs = 20;
        with.retention = std::chrono::seconds(25);
        with.kill_all_at = std::chrono::seconds(55);
        run(with, 400'000, histories / 20);
    }

    // Schedulers die, freeze and stop, data centres leave and the log is down, while every worker
    // stays up. A task that finished never runs again, and an evicted one loses no work.
    void work_resumes_once_from_its_newest_checkpoint() {
        history_options with;
        with.faults = 5;
        with.worker_faults = false;
        with.partitions = false;
        run(with, 200'000, histories / 2);
    }

    // The same with six faults that overlap, and long tasks that outlive them.
    void many_faults_at_once() {
        history_options with;
        with.faults = 6;
        with.jobs = 10;
        with.loss = 0.05;
        with.duplication = 0.05;
        run(with, 100'000, histories);
    }

    // Processes die, freeze, are cut off, data centres leave: any two at once, while messages are
    // lost, late and doubled.
    void any_two_faults() { run(history_options{}, 1000, histories); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(history_test);

} // namespace
} // namespace figwinch::testing
