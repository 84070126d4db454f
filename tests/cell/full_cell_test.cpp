#include "tests/cell/recovery_fixture.h"

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A cell that service tasks nearly fill while batch jobs keep arriving.
class full_cell_test : public recovery_fixture {
    CPPUNIT_TEST_SUITE(full_cell_test);
    CPPUNIT_TEST(batch_tasks_start_before_new_service_tasks);
    CPPUNIT_TEST(jobs_keep_their_age_through_a_change_of_coordinator);
    CPPUNIT_TEST_SUITE_END();

    static job_spec batch_job(std::uint32_t tasks, duration estimate) {
        step_spec step = cell_world::make_step(tasks, 1000);
        step.estimate = estimate;
        return cell_world::make_job({step});
    }

public:
    /// Guards against urgent batch tasks that wait forever behind service tasks, which never end.
    void batch_tasks_start_before_new_service_tasks() {
        start_cell();
        world_.submit(0, "old", service_job(12));
        world_.time().run_for(seconds(2));
        world_.submit(0, "held", batch_job(4, seconds(1)));
        world_.time().run_for(milliseconds(100));
        world_.submit(0, "new", service_job(4));
        world_.submit(0, "short", batch_job(4, seconds(1)));
        world_.time().run_for(seconds(2));
        CPPUNIT_ASSERT(world_.checker().has_started("short.0.0.0"));
        world_.time().run_for(seconds(8));
        assert_all_run("new", 4);
        assert_invariants();
    }
    /// Guards against a new coordinator that resets the age of jobs, so that they are never late.
    void jobs_keep_their_age_through_a_change_of_coordinator() {
        start_cell();
        world_.submit(0, "a", service_job(16));
        world_.time().run_for(seconds(1));
        job_spec job = batch_job(1, seconds(1));
        job.accepted_at = world_.time().clock().wall_now();
        world_.submit(0, "b", job);
        world_.time().run_for(seconds(5));
        const std::size_t first = *world_.coordinator();
        world_.kill_host(first);
        world_.start_host(first);
        world_.time().run_for(seconds(3));
        const coordinator_view view =
            world_.host(*world_.coordinator())->member().coordinating()->view();
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, view.jobs.size());
        for (const job_view& row : view.jobs)
            if (row.id == job_id("b"))
                CPPUNIT_ASSERT(row.age >= seconds(8));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(full_cell_test);

} // namespace
} // namespace figwinch::sim
