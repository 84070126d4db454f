#include "tests/cell/recovery_fixture.h"

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// How soon tasks start, or run again, after a change of coordinator or on full workers.
class lasting_recovery_test : public recovery_fixture {
    CPPUNIT_TEST_SUITE(lasting_recovery_test);
    CPPUNIT_TEST(a_task_doesnt_wait_for_a_worker_that_never_had_it);
    CPPUNIT_TEST(a_task_doesnt_wait_for_a_worker_that_was_silent_before_its_start);
    CPPUNIT_TEST(a_task_doesnt_wait_for_a_worker_that_was_only_recorded);
    CPPUNIT_TEST(a_task_runs_again_before_new_work_takes_the_room);
    CPPUNIT_TEST(a_short_job_doesnt_wait_for_a_worker_that_never_had_it);
    CPPUNIT_TEST_SUITE_END();

    /// Submits a service job. The log stores the workers of its tasks but its answer is lost, so
    /// that no start order is sent; then the coordinator's process restarts. All tasks must run on
    /// healthy workers within `max_down_time`.
    void restart_before_the_first_order() {
        constexpr std::uint32_t tasks = 8;
        std::size_t orders = 0;
        world_.fleet().on_start_sent = [&orders](const auto&, const auto&) { ++orders; };
        const auto reply = world_.submit(0, "a", service_job(tasks));
        run_until([&reply] { return reply->has_value(); });
        const std::size_t first = *world_.coordinator();
        world_.host(first)->way_to_log().lost_answers = 1;
        run_until([this] { return !record(record_kind::progress, "a").empty(); });
        world_.kill_host(first);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, orders);
        world_.fleet().on_start_sent = nullptr;
        world_.start_host(first);
        world_.time().run_for(max_down_time);
        for (std::uint32_t index = 0; index < tasks; ++index)
            CPPUNIT_ASSERT_MESSAGE(task("a", index), world_.checker().is_running(task("a", index)));
        assert_invariants();
    }

public:
    /// A worker becomes unreachable, the coordinator's process restarts seconds later, and then a
    /// service task fails on another, healthy worker. Guards against a successor that cannot tell
    /// whose runs the unreachable worker has and holds back every inherited task (with the reason
    /// `earlier_reign`) until that worker's lease has expired, for over 10 s.
    void a_task_doesnt_wait_for_a_worker_that_never_had_it() {
        start_cell();
        world_.submit(0, "a", service_job(8));
        world_.time().run_for(seconds(3));
        world_.fleet().workers.at("w1").cut = true;
        world_.time().run_for(seconds(1));
        const std::size_t first = *world_.coordinator();
        world_.kill_host(first);
        world_.start_host(first);
        world_.time().run_for(milliseconds(500));
        const std::string failing = task_on("w2", "a", 8);
        worker("w2").fail_run(failing);
        CPPUNIT_ASSERT(!world_.checker().is_running(failing));
        world_.time().run_for(max_down_time);
        CPPUNIT_ASSERT(world_.checker().is_running(failing));
        world_.time().run_for(seconds(12));
        for (std::uint32_t index = 0; index < 8; ++index)
            CPPUNIT_ASSERT(world_.checker().is_running(task("a", index)));
        assert_invariants();
    }
    /// A worker becomes unreachable and is recorded as unresponsive. A service job arrives, and the
    /// coordinator's process restarts once the workers of its tasks are recorded, before any start
    /// order. Guards against tasks that wait for the lease of the unreachable worker because they
    /// were recorded for it.
    void a_task_doesnt_wait_for_a_worker_that_was_silent_before_its_start() {
        start_cell();
        world_.fleet().workers.at("w1").cut = true;
        run_until([this] {
            const auto row = decode_worker(record(record_kind::worker, "w1"));
            return row && row->unresponsive;
        });
        restart_before_the_first_order();
    }
    /// A worker becomes unreachable and the coordinator's process restarts before it has noticed,
    /// when tasks are recorded for the worker but not ordered. Guards against a successor that
    /// takes a record without an order for one whose order was sent.
    void a_task_doesnt_wait_for_a_worker_that_was_only_recorded() {
        start_cell();
        world_.fleet().workers.at("w1").cut = true;
        restart_before_the_first_order();
    }
    /// The workers are full and more batch jobs arrive than they can run; then a service task
    /// fails. Guards against batch tasks that take all resources which become free because their
    /// callers can still have them in time: tasks were started in the order of their jobs'
    /// objectives, and that of a service job is soon past.
    void a_task_runs_again_before_new_work_takes_the_room() {
        start_cell();
        world_.submit(0, "a", service_job(4));
        world_.time().run_for(seconds(2));
        for (int index = 0; index < 30; ++index) {
            step_spec step = cell_world::make_step(8, 500);
            step.estimate = seconds(60);
            world_.submit(0, "b" + std::to_string(index), cell_world::make_job({step}));
        }
        world_.time().run_for(seconds(2));
        std::string failing;
        for (const auto& [name, entry] : world_.fleet().workers)
            if (failing.empty() && entry.worker->has(task("a", 0))) {
                failing = task("a", 0);
                entry.worker->fail_run(failing);
            }
        CPPUNIT_ASSERT(!failing.empty());
        world_.time().run_for(max_down_time);
        CPPUNIT_ASSERT(world_.checker().is_running(failing));
        assert_invariants();
    }
    /// A worker becomes unreachable, jobs start on the others, and the coordinator's process
    /// restarts. Guards against a successor that starts neither the next steps of those jobs nor
    /// new jobs until the lease of the unreachable worker has expired, for over 10 s, because
    /// nothing tells it that their runs cannot be there.
    void a_short_job_doesnt_wait_for_a_worker_that_never_had_it() {
        start_cell();
        world_.submit(0, "a", service_job(8));
        world_.time().run_for(seconds(3));
        world_.fleet().workers.at("w1").cut = true;
        world_.time().run_for(seconds(3));
        step_spec second = cell_world::make_step(3, 500);
        second.depends_on = {0};
        world_.submit(0, "b", cell_world::make_job({cell_world::make_step(3, 500), second}));
        world_.time().run_for(milliseconds(150));
        const std::size_t first = *world_.coordinator();
        world_.submit((first + 1) % 3, "c", cell_world::make_job({cell_world::make_step(2, 500)}));
        world_.time().run_for(milliseconds(5));
        world_.kill_host(first);
        world_.start_host(first);
        world_.time().run_for(max_start_delay);
        CPPUNIT_ASSERT(world_.checker().has_started("b.0.1.0"));
        CPPUNIT_ASSERT(world_.checker().has_started("c.0.0.0"));
        world_.time().run_for(seconds(15));
        assert_invariants();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lasting_recovery_test);

} // namespace
} // namespace figwinch::sim
