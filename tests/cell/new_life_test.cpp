#include "tests/cell/recovery_fixture.h"

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// How soon tasks of a lost worker run again if its incarnation is new to the coordinator.
class new_life_test : public recovery_fixture {
    CPPUNIT_TEST_SUITE(new_life_test);
    CPPUNIT_TEST(a_start_for_an_earlier_incarnation_isnt_waited_for_by_its_clock);
    CPPUNIT_TEST(tasks_of_a_new_worker_run_again_within_its_lease);
    CPPUNIT_TEST(tasks_of_a_restarted_worker_run_again_within_its_lease);
    CPPUNIT_TEST(tasks_of_a_worker_that_began_anew_out_of_reach_dont_wait_for_the_longest_lease);
    CPPUNIT_TEST(a_lease_of_a_start_for_an_earlier_incarnation_is_waited_for);
    CPPUNIT_TEST(a_lease_of_a_start_for_an_earlier_incarnation_is_waited_for_by_a_successor);
    CPPUNIT_TEST(a_successor_doesnt_wait_for_a_longer_lease_that_has_ended);
    CPPUNIT_TEST(tasks_of_a_restarted_worker_that_is_cut_off_soon_after_run_once);
    CPPUNIT_TEST_SUITE_END();

    /// The 10 s lease that workers grant, by the slowest clock, and the validity of a start order
    /// before it.
    static constexpr duration longest_grant = milliseconds(12'000);

    /// Lets a task fail and restarts the worker that its next start is sent to, as it is sent;
    /// returns that worker.
    std::string restart_worker_at_a_start() {
        const std::string failing = task_on("w0", "a", 8);
        std::string to_worker;
        world_.fleet().on_start_sent = [&](const std::string& to, const std::string& started) {
            if (started != failing || !to_worker.empty())
                return;
            to_worker = to;
            worker(to).reborn();
        };
        worker("w0").fail_run(failing);
        run_until([&] { return !to_worker.empty(); });
        world_.fleet().on_start_sent = nullptr;
        return to_worker;
    }
    /// Starts service tasks "a" in the cell, and lets a start for a worker's earlier incarnation
    /// reach the later one; returns that worker.
    std::string reach_later_incarnation_by_a_start() {
        start_cell();
        world_.submit(0, "a", service_job(8));
        world_.time().run_for(seconds(20));
        world_.fleet().reaches_one_incarnation = [](run_number) { return false; };
        return restart_worker_at_a_start();
    }

public:
    /// Guards against comparing an expiry on the clock of a worker's earlier incarnation with the
    /// clock of a later one.
    void a_start_for_an_earlier_incarnation_isnt_waited_for_by_its_clock() {
        start_cell();
        world_.submit(0, "a", service_job(8));
        world_.time().run_for(seconds(60));
        const std::string failing = task_on("w0", "a", 8);
        std::string to_worker;
        world_.fleet().reaches_one_incarnation = [](run_number) { return false; };
        world_.fleet().on_start_sent = [&](const std::string& to, const std::string& started) {
            if (started != failing || !to_worker.empty())
                return;
            to_worker = to;
            world_.fleet().workers.at(to).cut = true;
            worker(to).reborn();
        };
        worker("w0").fail_run(failing);
        run_until([&] { return !to_worker.empty(); });
        world_.time().run_for(milliseconds(800));
        world_.fleet().workers.at(to_worker).cut = false;
        world_.time().run_for(milliseconds(900));
        lose_worker(to_worker);
        world_.time().run_for(longest_grant);
        assert_all_run("a", 8);
        assert_invariants();
    }
    /// Guards against waiting for the longest lease of a new worker as if a predecessor had granted
    /// it one.
    void tasks_of_a_new_worker_run_again_within_its_lease() {
        start_cell();
        world_.fleet().reaches_one_incarnation = [](run_number) { return true; };
        world_.add_worker("w4");
        world_.time().run_for(milliseconds(300));
        world_.submit(0, "a", service_job(12));
        run_until([&] { return worker("w4").running() > 0; });
        world_.time().run_for(milliseconds(300));
        lose_worker("w4");
        world_.time().run_for(max_down_time_after_loss);
        assert_all_run("a", 12);
        assert_invariants();
    }
    /// Guards against waiting for the longest lease of a restarted worker although the coordinator
    /// has outlasted everything that its predecessors started.
    void tasks_of_a_restarted_worker_run_again_within_its_lease() {
        start_cell();
        world_.kill_host(*world_.coordinator());
        world_.submit(1, "a", service_job(8));
        world_.time().run_for(seconds(20));
        world_.fleet().reaches_one_incarnation = [](run_number) { return true; };
        worker("w1").reborn();
        world_.time().run_for(milliseconds(300));
        world_.submit(1, "b", service_job(4));
        world_.time().run_for(milliseconds(700));
        CPPUNIT_ASSERT(worker("w1").running() > 0);
        lose_worker("w1");
        world_.time().run_for(max_down_time_after_loss);
        assert_all_run("a", 8);
        assert_all_run("b", 4);
        assert_invariants();
    }
    /// Guards against waiting for the longest lease, after a change of coordinator, of a worker
    /// that crashed and is listed with a new incarnation but unreachable.
    void tasks_of_a_worker_that_began_anew_out_of_reach_dont_wait_for_the_longest_lease() {
        start_cell();
        world_.submit(0, "a", service_job(8));
        world_.time().run_for(seconds(20));
        sim_fleet::entry& lost = world_.fleet().workers.at("w1");
        lost.cut = true;
        lost.worker->reborn();
        lost.listing.incarnation = lost.worker->born_ms();
        world_.list_worker("w1", "ready");
        world_.time().run_for(seconds(1));
        const std::size_t first = *world_.coordinator();
        world_.kill_host(first);
        world_.start_host(first);
        world_.time().run_for(max_down_time_after_loss - seconds(1));
        assert_all_run("a", 8);
        assert_invariants();
    }
    /// Guards against a task that runs twice: a start for a worker's earlier incarnation reaches
    /// the later one, which grants its longest lease to everything that runs there.
    void a_lease_of_a_start_for_an_earlier_incarnation_is_waited_for() {
        const std::string to_worker = reach_later_incarnation_by_a_start();
        world_.time().run_for(milliseconds(1200));
        world_.fleet().workers.at(to_worker).cut = true;
        world_.time().run_for(longest_grant);
        assert_invariants();
        assert_all_run("a", 8);
    }
    /// The same where the coordinator is lost at the same time.
    void a_lease_of_a_start_for_an_earlier_incarnation_is_waited_for_by_a_successor() {
        const std::string to_worker = reach_later_incarnation_by_a_start();
        world_.time().run_for(milliseconds(1200));
        world_.fleet().workers.at(to_worker).cut = true;
        world_.kill_host(*world_.coordinator());
        world_.time().run_for(longest_grant + seconds(4));
        assert_invariants();
        assert_all_run("a", 8);
    }
    /// Guards against tasks that are down for the longest lease after the loss of a worker and the
    /// coordinator, because the worker once held such a lease.
    void a_successor_doesnt_wait_for_a_longer_lease_that_has_ended() {
        const std::string to_worker = reach_later_incarnation_by_a_start();
        world_.fleet().reaches_one_incarnation = [](run_number) { return true; };
        world_.time().run_for(longest_grant + seconds(20));
        world_.submit(0, "b", service_job(4));
        world_.time().run_for(seconds(2));
        CPPUNIT_ASSERT(worker(to_worker).running() > 0);
        lose_worker(to_worker);
        world_.kill_host(*world_.coordinator());
        world_.time().run_for(max_down_time_after_loss);
        assert_all_run("a", 8);
        assert_all_run("b", 4);
        assert_invariants();
    }
    /// The same where the start isn't sent to the later incarnation. Guards too against waiting for
    /// a longer lease than was asked for.
    void tasks_of_a_restarted_worker_that_is_cut_off_soon_after_run_once() {
        start_cell();
        world_.submit(0, "a", service_job(8));
        world_.time().run_for(seconds(20));
        const std::string to_worker = restart_worker_at_a_start();
        world_.time().run_for(milliseconds(1200));
        lose_worker(to_worker);
        world_.time().run_for(max_down_time_after_loss);
        assert_invariants();
        assert_all_run("a", 8);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(new_life_test);

} // namespace
} // namespace figwinch::sim
