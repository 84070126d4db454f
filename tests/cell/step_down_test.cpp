#include "tests/cell/recovery_fixture.h"

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t task_count = 8;

/// What a successor learns from a coordinator that has lost the log but continues to act.
class step_down_test : public recovery_fixture {
    CPPUNIT_TEST_SUITE(step_down_test);
    CPPUNIT_TEST(a_coordinator_cut_off_from_the_log_steps_down_for_its_successor);
    CPPUNIT_TEST(tasks_of_a_lost_worker_dont_wait_for_a_coordinator_cut_off_from_the_log);
    CPPUNIT_TEST(tasks_of_a_lost_worker_dont_wait_anew_for_each_coordinator);
    CPPUNIT_TEST(a_task_recorded_without_an_order_doesnt_wait_for_its_worker);
    CPPUNIT_TEST(a_coordinator_that_wakes_to_its_end_tells_what_it_ordered);
    CPPUNIT_TEST(a_task_recorded_without_an_order_by_a_coordinator_out_of_reach_runs_in_time);
    CPPUNIT_TEST(outstanding_orders_survive_encoding_and_decoding);
    CPPUNIT_TEST_SUITE_END();

    /// Starts service tasks and waits until they run; returns the host of the coordinator.
    std::size_t begin_with_tasks() {
        start_cell();
        world_.submit(0, "a", service_job(task_count));
        world_.time().run_for(seconds(3));
        assert_all_run("a", task_count);
        return *world_.coordinator();
    }
    void disconnect_from_log(std::size_t host) {
        world_.host(host)->way_to_log().state = sim_log::way::silent;
    }
    /// Returns the worker that the log names for the only task of job "b".
    worker_id recorded() {
        const auto job = decode_progress(record(record_kind::progress, "b"));
        const bool known = job && job->occurrences.contains(0);
        return known ? job->occurrences.at(0).steps.at(0).at(0).assigned_worker : worker_id();
    }
    /// Submits a job of one task. The log stores the task's worker but its answer is lost, so that
    /// no start order is sent; then the worker becomes unreachable. Returns the task.
    std::string record_without_order(std::size_t coordinator) {
        world_.host(coordinator)->way_to_log().lost_answers = 1;
        world_.submit((coordinator + 1) % world_.hosts(), "b", service_job(1));
        run_until([this] { return !recorded().empty(); });
        world_.fleet().workers.at(recorded().str()).cut = true;
        return task("b", 0);
    }

public:
    step_down_test() : recovery_fixture(3, true) {}

    /// Guards against two coordinators that send orders at the same time until the first one
    /// notices by itself that it was superseded.
    void a_coordinator_cut_off_from_the_log_steps_down_for_its_successor() {
        const std::size_t first = begin_with_tasks();
        disconnect_from_log(first);
        run_until([&] {
            const auto acting = world_.coordinator();
            return acting && *acting != first;
        });
        world_.time().run_for(milliseconds(500));
        CPPUNIT_ASSERT(world_.host(first)->member().coordinating() == nullptr);
        assert_invariants();
    }
    /// Guards against a successor that waits for leases which its predecessor did not renew because
    /// the worker was already unresponsive.
    void tasks_of_a_lost_worker_dont_wait_for_a_coordinator_cut_off_from_the_log() {
        constexpr duration later = milliseconds(700);
        const std::size_t first = begin_with_tasks();
        lose_worker("w1");
        world_.time().run_for(later);
        disconnect_from_log(first);
        world_.time().run_for(max_down_time_after_loss - later);
        assert_all_run("a", task_count);
        assert_invariants();
    }
    /// Guards against a wait for expired leases that starts again with each change of coordinator.
    void tasks_of_a_lost_worker_dont_wait_anew_for_each_coordinator() {
        constexpr duration first_disconnect = milliseconds(700);
        constexpr duration second_disconnect = milliseconds(4000);
        const std::size_t first = begin_with_tasks();
        lose_worker("w1");
        world_.time().run_for(first_disconnect);
        disconnect_from_log(first);
        world_.time().run_for(second_disconnect - first_disconnect);
        const std::size_t second = *world_.newest_leader();
        CPPUNIT_ASSERT(second != first);
        disconnect_from_log(second);
        world_.time().run_for(max_down_time_after_loss - second_disconnect);
        assert_all_run("a", task_count);
        assert_invariants();
    }
    /// Guards against a task that waits for a worker for which it was recorded but never ordered.
    void a_task_recorded_without_an_order_doesnt_wait_for_its_worker() {
        const std::size_t first = begin_with_tasks();
        const std::string waiting = record_without_order(first);
        disconnect_from_log(first);
        world_.time().run_for(max_down_time);
        CPPUNIT_ASSERT(world_.checker().is_running(waiting));
        assert_invariants();
    }
    /// Guards against a coordinator that learns from the log that it was superseded and forgets
    /// what it ordered.
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
        CPPUNIT_ASSERT(world_.checker().is_running(waiting));
        assert_invariants();
    }
    /// Guards against a task that waits for a worker for which it was recorded but never ordered,
    /// where the predecessor is unreachable and cannot report that it sent no order.
    void a_task_recorded_without_an_order_by_a_coordinator_out_of_reach_runs_in_time() {
        const std::size_t first = begin_with_tasks();
        const std::string waiting = record_without_order(first);
        disconnect_from_log(first);
        world_.cut_from_peers(first, true);
        world_.time().run_for(max_down_time);
        assert_invariants();
        CPPUNIT_ASSERT(world_.checker().is_running(waiting));
    }
    void outstanding_orders_survive_encoding_and_decoding() {
        outstanding_orders orders;
        orders.unresolved_workers = {{worker_id("w1"), milliseconds(1500)},
                                     {worker_id("w2"), std::nullopt}};
        orders.not_ordered = {"a.0.0.1"};
        const auto read = decode_outstanding(encode_outstanding(orders));
        CPPUNIT_ASSERT(read);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, read->unresolved_workers.size());
        CPPUNIT_ASSERT(read->unresolved_workers[0].expires_in >= milliseconds(1500));
        CPPUNIT_ASSERT(!read->unresolved_workers[1].expires_in);
        CPPUNIT_ASSERT_EQUAL(std::string("a.0.0.1"), read->not_ordered.at(0));
        CPPUNIT_ASSERT(!decode_outstanding(encode_outstanding(std::nullopt)));
        CPPUNIT_ASSERT(!decode_outstanding("\xff\xff"));
        CPPUNIT_ASSERT(!decode_step_down_request(""));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(step_down_test);

} // namespace
} // namespace figwinch::sim
