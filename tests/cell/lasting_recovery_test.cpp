#include "tests/cell/recovery_fixture.h"

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// How soon tasks run again, or begin, after a change of coordinator or on full workers.
class lasting_recovery_test : public recovery_fixture {
    CPPUNIT_TEST_SUITE(lasting_recovery_test);
    CPPUNIT_TEST(a_task_doesnt_wait_for_a_worker_that_never_had_it);
    CPPUNIT_TEST(a_task_doesnt_wait_for_a_worker_that_was_silent_before_its_start);
    CPPUNIT_TEST(a_task_doesnt_wait_for_a_worker_that_was_only_recorded);
    CPPUNIT_TEST(a_task_runs_again_before_new_work_takes_the_room);
    CPPUNIT_TEST(a_short_job_doesnt_wait_for_a_worker_that_never_had_it);
    CPPUNIT_TEST_SUITE_END();

    /// A lasting job comes. The log takes the workers of its tasks and its answer is lost, so that
    /// no order goes out, and the coordinator's process ends and starts again. Then all tasks have
    /// to run on the workers that are well.
    void restart_before_the_first_order() {
        constexpr std::uint32_t tasks = 8;
        std::size_t orders = 0;
        world_.fleet().on_start_sent = [&orders](const auto&, const auto&) { ++orders; };
        const auto told = world_.submit(0, "a", service_job(tasks));
        run_until([&told] { return told->has_value(); });
        const std::size_t first = *world_.coordinator();
        world_.host(first)->way_to_log().lost_answers = 1;
        run_until([this] { return !record(record_kind::progress, "a").empty(); });
        world_.kill_host(first);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, orders);
        world_.fleet().on_start_sent = nullptr;
        world_.start_host(first);
        world_.time().run_for(max_down_time);
        for (std::uint32_t index = 0; index < tasks; ++index)
            CPPUNIT_ASSERT_MESSAGE(task("a", index), world_.watch().runs(task("a", index)));
        assert_invariants();
    }

public:
    /// Story: a worker goes dark, and seconds later the process of the coordinator ends and starts
    /// again. Then a lasting task fails on another worker, which is well. It had no run for over 10
    /// s, until the lease of the dark worker was over, which had never had it. The new reign
    /// couldn't tell whose the dark worker's runs were and held back every task that it inherited:
    /// `waits_for` said earlier_reign all the while, and the wait ended with that lease.
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
        CPPUNIT_ASSERT(!world_.watch().runs(failing));
        world_.time().run_for(max_down_time);
        CPPUNIT_ASSERT(world_.watch().runs(failing));
        world_.time().run_for(seconds(12));
        for (std::uint32_t index = 0; index < 8; ++index)
            CPPUNIT_ASSERT(world_.watch().runs(task("a", index)));
        assert_invariants();
    }
    /// Story: a worker goes dark, and the coordinator finds it silent. A lasting job comes, and the
    /// process of the coordinator ends and starts again when the workers of the job's tasks are in
    /// the log, before any order. Tasks that were recorded for the dark worker, which was known to
    /// be silent, had no run until its lease was over.
    void a_task_doesnt_wait_for_a_worker_that_was_silent_before_its_start() {
        start_cell();
        world_.fleet().workers.at("w1").cut = true;
        run_until([this] {
            const auto row = decode_worker(record(record_kind::worker, "w1"));
            return row && row->silent;
        });
        restart_before_the_first_order();
    }
    /// Story: the same, but the worker went dark a moment ago and the coordinator doesn't know yet.
    /// A record without an order looks to the successor like one whose order went out.
    void a_task_doesnt_wait_for_a_worker_that_was_only_recorded() {
        start_cell();
        world_.fleet().workers.at("w1").cut = true;
        restart_before_the_first_order();
    }
    /// Story: the workers are full and more jobs come than they can serve. A lasting task fails,
    /// and each time a short task ends another short one, whose caller can still have it in time,
    /// takes the room. Tasks were started in the order of their jobs' objectives, and that of a
    /// lasting job is soon past.
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
        CPPUNIT_ASSERT(world_.watch().runs(failing));
        assert_invariants();
    }
    /// Story: a worker goes dark, jobs begin on the others, and the process of the coordinator ends
    /// and starts again. Neither their next steps nor jobs that hadn't begun were started for over
    /// 10 s, until the lease of the dark worker was over: nothing told the new reign that none of
    /// their runs could be there.
    void a_short_job_doesnt_wait_for_a_worker_that_never_had_it() {
        start_cell();
        world_.submit(0, "a", service_job(8));
        world_.time().run_for(seconds(3));
        world_.fleet().workers.at("w1").cut = true;
        world_.time().run_for(seconds(3));
        step_spec second = cell_world::make_step(3, 500);
        second.after = {0};
        world_.submit(0, "b", cell_world::make_job({cell_world::make_step(3, 500), second}));
        world_.time().run_for(milliseconds(150));
        const std::size_t first = *world_.coordinator();
        world_.submit((first + 1) % 3, "c", cell_world::make_job({cell_world::make_step(2, 500)}));
        world_.time().run_for(milliseconds(5));
        world_.kill_host(first);
        world_.start_host(first);
        world_.time().run_for(max_start_delay);
        CPPUNIT_ASSERT(world_.watch().begun("b.0.1.0"));
        CPPUNIT_ASSERT(world_.watch().begun("c.0.0.0"));
        world_.time().run_for(seconds(15));
        assert_invariants();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lasting_recovery_test);

} // namespace
} // namespace figwinch::sim
