#include "tests/cell/recovery_fixture.h"

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t task_count = 8;

/// What a successor learns from a coordinator that has lost the log and acts on.
class step_down_test : public recovery_fixture {
    CPPUNIT_TEST_SUITE(step_down_test);
    CPPUNIT_TEST(a_coordinator_parted_from_the_log_ends_for_its_successor);
    CPPUNIT_TEST(tasks_of_a_lost_worker_dont_wait_for_a_coordinator_parted_from_the_log);
    CPPUNIT_TEST(tasks_of_a_lost_worker_dont_wait_anew_for_each_coordinator);
    CPPUNIT_TEST(a_task_recorded_without_an_order_doesnt_wait_for_its_worker);
    CPPUNIT_TEST(a_coordinator_that_wakes_to_its_end_tells_what_it_ordered);
    CPPUNIT_TEST(a_task_recorded_without_an_order_by_a_coordinator_out_of_reach_runs_in_time);
    CPPUNIT_TEST(outstanding_orders_pass_the_bus_unchanged);
    CPPUNIT_TEST_SUITE_END();

    /// Begins with lasting tasks at work; returns the host that coordinates.
    std::size_t begin_with_tasks() {
        start_cell();
        world_.submit(0, "a", service_job(task_count));
        world_.time().run_for(seconds(3));
        assert_all_run("a", task_count);
        return *world_.coordinator();
    }
    void part_from_log(std::size_t host) {
        world_.host(host)->way_to_log().state = sim_log::way::silent;
    }
    /// The worker that the log names for the only task of job "b".
    worker_id recorded() {
        const auto job = decode_progress(record(record_kind::progress, "b"));
        const bool known = job && job->occurrences.contains(0);
        return known ? job->occurrences.at(0).steps.at(0).at(0).ordered_to : worker_id();
    }
    /// The log takes a new task's worker, and the answer is lost. Then the worker is out of reach;
    /// returns the task.
    std::string record_without_order(std::size_t coordinator) {
        world_.host(coordinator)->way_to_log().lost_answers = 1;
        world_.submit((coordinator + 1) % world_.hosts(), "b", service_job(1));
        run_until([this] { return !recorded().empty(); });
        world_.fleet().workers.at(recorded().str()).cut = true;
        return task("b", 0);
    }

public:
    step_down_test() : recovery_fixture(3, true) {}

    /// Guards against two coordinators that order side by side until the first one notices by
    /// itself.
    void a_coordinator_parted_from_the_log_ends_for_its_successor() {
        const std::size_t first = begin_with_tasks();
        part_from_log(first);
        run_until([&] {
            const auto acting = world_.coordinator();
            return acting && *acting != first;
        });
        world_.time().run_for(milliseconds(500));
        CPPUNIT_ASSERT(world_.host(first)->member().coordinating() == nullptr);
        assert_invariants();
    }
    /// Guards against a successor that reckons with leases which its predecessor hasn't prolonged,
    /// since the worker was silent before.
    void tasks_of_a_lost_worker_dont_wait_for_a_coordinator_parted_from_the_log() {
        constexpr duration later = milliseconds(700);
        const std::size_t first = begin_with_tasks();
        lose_worker("w1");
        world_.time().run_for(later);
        part_from_log(first);
        world_.time().run_for(max_down_time_after_loss - later);
        assert_all_run("a", task_count);
        assert_invariants();
    }
    /// Guards against a wait that begins again with each change of coordinator.
    void tasks_of_a_lost_worker_dont_wait_anew_for_each_coordinator() {
        constexpr duration first_parting = milliseconds(700);
        constexpr duration second_parting = milliseconds(4000);
        const std::size_t first = begin_with_tasks();
        lose_worker("w1");
        world_.time().run_for(first_parting);
        part_from_log(first);
        world_.time().run_for(second_parting - first_parting);
        const std::size_t second = *world_.acting();
        CPPUNIT_ASSERT(second != first);
        part_from_log(second);
        world_.time().run_for(max_down_time_after_loss - second_parting);
        assert_all_run("a", task_count);
        assert_invariants();
    }
    /// Guards against a task that waits for a worker on which it was only recorded.
    void a_task_recorded_without_an_order_doesnt_wait_for_its_worker() {
        const std::size_t first = begin_with_tasks();
        const std::string waiting = record_without_order(first);
        part_from_log(first);
        world_.time().run_for(max_down_time);
        CPPUNIT_ASSERT(world_.watch().runs(waiting));
        assert_invariants();
    }
    /// Guards against a coordinator that learns of its end from the log and forgets what it
    /// ordered.
    void a_coordinator_that_wakes_to_its_end_tells_what_it_ordered() {
        const std::size_t first = begin_with_tasks();
        const std::string waiting = record_without_order(first);
        world_.host(first)->freeze_for(seconds(2));
        world_.cut_from_peers(first, true);
        constexpr duration awake = milliseconds(2500);
        world_.time().run_for(awake);
        CPPUNIT_ASSERT(world_.host(first)->member().coordinating() == nullptr);
        world_.cut_from_peers(first, false);
        world_.time().run_for(max_down_time - awake);
        CPPUNIT_ASSERT(world_.watch().runs(waiting));
        assert_invariants();
    }
    /// Guards against the same where nobody can tell that there was no order.
    void a_task_recorded_without_an_order_by_a_coordinator_out_of_reach_runs_in_time() {
        const std::size_t first = begin_with_tasks();
        const std::string waiting = record_without_order(first);
        part_from_log(first);
        world_.cut_from_peers(first, true);
        world_.time().run_for(max_down_time);
        assert_invariants();
        CPPUNIT_ASSERT(world_.watch().runs(waiting));
    }
    void outstanding_orders_pass_the_bus_unchanged() {
        outstanding_orders orders;
        orders.held = {{worker_id("w1"), milliseconds(1500)}, {worker_id("w2"), std::nullopt}};
        orders.not_ordered = {"a.0.0.1"};
        const auto read = decode_outstanding(encode_outstanding(orders));
        CPPUNIT_ASSERT(read);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read->held.size());
        CPPUNIT_ASSERT(read->held[0].left >= milliseconds(1500));
        CPPUNIT_ASSERT(!read->held[1].left);
        CPPUNIT_ASSERT_EQUAL(std::string("a.0.0.1"), read->not_ordered.at(0));
        CPPUNIT_ASSERT(!decode_outstanding(encode_outstanding(std::nullopt)));
        CPPUNIT_ASSERT(!decode_outstanding("\xff\xff"));
        CPPUNIT_ASSERT(!decode_step_down_request(""));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(step_down_test);

} // namespace
} // namespace figwinch::sim
