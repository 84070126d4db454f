#include "tests/cell/recovery_fixture.h"

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// What one coordinator finds out about workers out of reach must reach the coordinators after the
/// next one, whether or not the next one had time to act.
class absent_evidence_test : public recovery_fixture {
    CPPUNIT_TEST_SUITE(absent_evidence_test);
    CPPUNIT_TEST(tasks_of_an_unrecorded_worker_that_is_unlisted_run_once);
    CPPUNIT_TEST(a_worker_that_was_given_up_is_not_waited_for_again);
    CPPUNIT_TEST(tasks_run_in_time_when_a_host_resigns_before_it_coordinates);
    CPPUNIT_TEST(tasks_of_a_worker_out_of_reach_run_once_when_a_host_resigns_early);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint32_t task_count = 8;
    /// Less than a lease.
    static constexpr duration short_term = milliseconds(4000);

    void start_tasks() {
        start_cell();
        world_.submit(0, "a", service_job(task_count));
        world_.time().run_for(seconds(10));
        CPPUNIT_ASSERT(worker("w1").running() > 0);
    }
    void restart(std::size_t host) {
        world_.kill_host(host);
        world_.start_host(host);
    }
    /// Ends the coordinator's term as a planned stop does, and that of its successor before the
    /// successor has loaded what it needs to coordinate.
    void resign_twice() {
        const std::size_t leading = *world_.coordinator();
        world_.host(leading)->member().resign();
        run_until([&] { return next_leader(leading).has_value(); });
        const std::size_t next = *next_leader(leading);
        CPPUNIT_ASSERT(world_.host(next)->member().coordinating() == nullptr);
        world_.host(next)->member().resign();
        world_.time().run_for(milliseconds(300));
        restart(leading);
        restart(next);
    }
    std::optional<std::size_t> next_leader(std::size_t resigned) {
        const auto newest = world_.newest_leader();
        return newest == resigned ? std::nullopt : newest;
    }

public:
    /// Guards against a task that runs twice: the doubt about a worker without a record ends with
    /// the first coordinator that reads no record, if the worker is listed no more.
    void tasks_of_an_unrecorded_worker_that_is_unlisted_run_once() {
        start_tasks();
        world_.fleet().workers.at("w1").cut = true;
        world_.store().append(cell_stream::progress,
                              {{record_key(record_kind::worker, "w1"), std::nullopt, 0}}, {});
        replace_coordinator();
        run_until([&] { return world_.coordinator().has_value(); });
        world_.time().run_for(milliseconds(500));
        world_.unlist_worker("w1");
        world_.time().run_for(milliseconds(500));
        replace_coordinator();
        world_.time().run_for(seconds(20));
        assert_invariants();
        assert_all_run("a", task_count);
    }
    /// Guards against a wait for a worker's lease that begins anew with each coordinator after the
    /// lease has ended.
    void a_worker_that_was_given_up_is_not_waited_for_again() {
        start_tasks();
        world_.fleet().workers.at("w1").cut = true;
        replace_coordinator();
        world_.time().run_for(seconds(18));
        const auto idle = decode_worker(record(record_kind::worker, "w1"));
        CPPUNIT_ASSERT(idle && idle->lease_expired);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, unresolved_after_replacement());
    }
    /// Guards against a wait for the lease of a lost worker that begins anew because a host
    /// resigned before its coordinator began, and left no account.
    void tasks_run_in_time_when_a_host_resigns_before_it_coordinates() {
        start_tasks();
        lose_worker("w1");
        const instant end = world_.time().now() + max_down_time_after_loss;
        world_.time().run_for(short_term);
        resign_twice();
        world_.time().run_for(end - world_.time().now());
        assert_all_run("a", task_count);
        assert_invariants();
    }
    /// Guards against an account that is passed on without taking off the time that has passed, or
    /// with more taken off.
    void tasks_of_a_worker_out_of_reach_run_once_when_a_host_resigns_early() {
        start_tasks();
        world_.fleet().workers.at("w1").cut = true;
        world_.time().run_for(seconds(1));
        resign_twice();
        world_.time().run_for(seconds(20));
        assert_all_run("a", task_count);
        assert_invariants();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(absent_evidence_test);

} // namespace
} // namespace figwinch::sim
