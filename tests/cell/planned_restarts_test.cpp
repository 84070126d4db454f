#include "tests/cell/recovery_fixture.h"

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Planned restarts of the coordinator's host, one after the other, beside a lost worker.
class planned_restarts_test : public recovery_fixture {
    CPPUNIT_TEST_SUITE(planned_restarts_test);
    CPPUNIT_TEST(tasks_of_a_lost_worker_run_again_in_time_beside_planned_restarts);
    CPPUNIT_TEST(tasks_of_a_worker_out_of_reach_run_once_beside_planned_restarts);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint32_t task_count = 8;
    /// Less than a lease.
    static constexpr duration period = milliseconds(4500);

    void start_tasks() {
        start_cell();
        world_.submit(0, "a", service_job(task_count));
        world_.time().run_for(seconds(10));
        assert_all_run("a", task_count);
    }
    /// Ends the coordinator's term as a planned stop does, and starts its host again.
    void restart_coordinator() {
        const std::size_t leading = *world_.coordinator();
        world_.host(leading)->member().resign();
        world_.time().run_for(milliseconds(300));
        world_.kill_host(leading);
        world_.start_host(leading);
    }

public:
    /// Guards against a wait for the lease of a lost worker that begins anew with each coordinator.
    void tasks_of_a_lost_worker_run_again_in_time_beside_planned_restarts() {
        start_tasks();
        lose_worker("w1");
        const instant end = world_.time().now() + max_down_time_after_loss;
        world_.time().run_for(seconds(1));
        restart_coordinator();
        world_.time().run_for(period - milliseconds(300));
        restart_coordinator();
        world_.time().run_for(end - world_.time().now());
        assert_all_run("a", task_count);
        assert_invariants();
    }
    /// Guards against a wait that ends before the worker's lease does.
    void tasks_of_a_worker_out_of_reach_run_once_beside_planned_restarts() {
        for (const duration wait : {milliseconds(100), milliseconds(900), milliseconds(2300)}) {
            const std::string cut = "w1";
            if (wait == milliseconds(100))
                start_tasks();
            world_.fleet().workers.at(cut).cut = true;
            world_.time().run_for(wait);
            for (int restarts = 0; restarts < 4; ++restarts) {
                restart_coordinator();
                world_.time().run_for(seconds(2));
            }
            world_.time().run_for(seconds(6));
            world_.fleet().workers.at(cut).cut = false;
            world_.time().run_for(seconds(10));
            assert_all_run("a", task_count);
            assert_invariants();
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(planned_restarts_test);

} // namespace
} // namespace figwinch::sim
