#include "tests/cell/cell_world.h"
#include "tests/cell/invariant_checker.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// What the checker of the histories reports, and what it allows.
class invariant_checker_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(invariant_checker_test);
    CPPUNIT_TEST(each_capacity_before_two_shrinks_counts_for_its_notice);
    CPPUNIT_TEST(a_capacity_counts_no_longer_than_its_notice);
    CPPUNIT_TEST(failed_runs_of_a_gang_count_together);
    CPPUNIT_TEST(failed_runs_of_single_tasks_count_by_task);
    CPPUNIT_TEST_SUITE_END();

    sim_time time_;
    invariant_checker checker_{time_, 1};

    /// A worker of 4 CPU that shrinks to 2, and half a second later to 1.
    void shrink_twice() {
        checker_.capacities["w0"] = {4000, 16'384, 0};
        time_.run_for(seconds(1));
        checker_.resize("w0", {2000, 16'384, 0});
        time_.run_for(milliseconds(500));
        checker_.resize("w0", {1000, 16'384, 0});
    }
    void start(std::int64_t cpu_millis) {
        checker_.jobs["a"].spec = cell_world::make_job({cell_world::make_step(1, cpu_millis)});
        start_order order;
        order.task = "a.0.0.0";
        order.run = run_number(1);
        checker_.on_start("w0", order, false);
    }

    /// Three failed runs of a job with three attempts, each of another of its three tasks.
    void fail_each_task_once(bool gang) {
        step_spec step = cell_world::make_step(3, 500);
        step.gang = gang;
        checker_.jobs["a"].spec = cell_world::make_job({step});
        for (std::uint32_t run = 1; run <= 3; ++run)
            checker_.on_end("w0", "a.0.0." + std::to_string(run - 1), run_number(run),
                            run_end::failed);
    }

public:
    /// Guards against blaming the scheduler for a gang that failed each time by another member.
    void failed_runs_of_a_gang_count_together() {
        fail_each_task_once(true);
        CPPUNIT_ASSERT(checker_.may_have_failed("a"));
    }
    /// Guards against allowing a job to fail none of whose tasks used up its attempts.
    void failed_runs_of_single_tasks_count_by_task() {
        fail_each_task_once(false);
        CPPUNIT_ASSERT(!checker_.may_have_failed("a"));
    }
    /// Guards against blaming a start that was sent before any shrink could be known.
    void each_capacity_before_two_shrinks_counts_for_its_notice() {
        shrink_twice();
        time_.run_for(milliseconds(3500));
        start(4000);
        CPPUNIT_ASSERT(checker_.violations.empty());
    }
    /// Guards against allowing the first capacity for the notice of the second.
    void a_capacity_counts_no_longer_than_its_notice() {
        shrink_twice();
        time_.run_for(milliseconds(3700));
        start(2100);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, checker_.violations.size());
        CPPUNIT_ASSERT(checker_.violations.front().starts_with("LIMIT"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(invariant_checker_test);

} // namespace
} // namespace figwinch::sim
