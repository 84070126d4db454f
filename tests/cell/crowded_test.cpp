#include "tests/cell/recovery_fixture.h"

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The pattern: a cell that lasting tasks fill nearly to its room, while short jobs keep coming.
class crowded_test : public recovery_fixture {
    CPPUNIT_TEST_SUITE(crowded_test);
    CPPUNIT_TEST(short_tasks_go_before_first_starts_of_lasting_ones);
    CPPUNIT_TEST(jobs_keep_their_age_through_a_change_of_coordinator);
    CPPUNIT_TEST_SUITE_END();

    static job_spec wide(std::uint32_t tasks, duration estimate) {
        step_spec step = cell_world::make_step(tasks, 1000);
        step.estimate = estimate;
        return cell_world::make_job({step});
    }

public:
    /// Guards against urgent work that waits for ever behind tasks that never end.
    void short_tasks_go_before_first_starts_of_lasting_ones() {
        start_cell();
        world_.submit(0, "old", service_job(12));
        world_.time().run_for(seconds(2));
        world_.submit(0, "held", wide(4, seconds(1)));
        world_.time().run_for(milliseconds(100));
        world_.submit(0, "new", service_job(4));
        world_.submit(0, "short", wide(4, seconds(1)));
        world_.time().run_for(seconds(2));
        CPPUNIT_ASSERT(world_.watch().begun("short.0.0.0"));
        world_.time().run_for(seconds(8));
        assert_all_run("new", 4);
        assert_invariants();
    }
    /// Guards against jobs that look new to each coordinator and so are never late.
    void jobs_keep_their_age_through_a_change_of_coordinator() {
        start_cell();
        world_.submit(0, "a", service_job(16));
        world_.time().run_for(seconds(1));
        job_spec job = wide(1, seconds(1));
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
                CPPUNIT_ASSERT(row.known_for >= seconds(8));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crowded_test);

} // namespace
} // namespace figwinch::sim
