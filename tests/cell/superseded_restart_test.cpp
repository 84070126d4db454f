#include "tests/cell/recovery_fixture.h"

namespace figwinch::sim {
namespace {

using std::chrono::seconds;

constexpr std::uint32_t task_count = 8;

/// A worker that restarts forgets the epoch of the coordinator, so that one that was superseded but
/// hasn't noticed may order it for a while.
class superseded_restart_test : public recovery_fixture {
    CPPUNIT_TEST_SUITE(superseded_restart_test);
    CPPUNIT_TEST(a_predecessor_starts_nothing_on_a_restarted_worker);
    CPPUNIT_TEST(a_predecessor_starts_nothing_on_a_restarted_worker_out_of_reach);
    CPPUNIT_TEST_SUITE_END();

    std::size_t predecessor_ = 0;
    std::size_t successor_ = 0;

    sim_orders& orders_of(std::size_t host) { return world_.host(host)->way_to_workers(); }
    /// Cuts the coordinator off from the log and from all workers but one, and waits until a
    /// successor has had a report of each worker.
    void replace_coordinator(const std::string& reached) {
        predecessor_ = *world_.coordinator();
        world_.host(predecessor_)->way_to_log().state = sim_log::way::silent;
        run_until([&] { return *world_.newest_leader() != predecessor_; });
        successor_ = *world_.newest_leader();
        for (const auto& [name, entry] : world_.fleet().workers)
            if (name != reached)
                orders_of(predecessor_).cut_from.insert(name);
        run_until([&] {
            const coordinator* const acting = world_.host(successor_)->member().coordinating();
            return acting != nullptr && acting->counts().workers > 0 &&
                   acting->counts().workers_unresolved == 0;
        });
    }
    /// Restarts a worker that the predecessor reaches and the successor doesn't.
    void restart_beside_predecessor(const std::string& name, duration unreached) {
        start_cell();
        world_.submit(0, "a", service_job(task_count));
        world_.time().run_for(seconds(10));
        assert_all_run("a", task_count);
        replace_coordinator(name);
        CPPUNIT_ASSERT(world_.host(predecessor_)->member().coordinating() != nullptr);
        orders_of(successor_).cut_from.insert(name);
        worker(name).reborn();
        world_.time().run_for(unreached);
        orders_of(successor_).cut_from.clear();
    }

public:
    /// Guards against a task that runs twice: a predecessor starts the tasks of a restarted worker
    /// there again, and its successor starts them too as soon as it reaches the worker.
    void a_predecessor_starts_nothing_on_a_restarted_worker() {
        restart_beside_predecessor("w1", seconds(1));
        world_.time().run_for(seconds(5));
        assert_invariants();
        assert_all_run("a", task_count);
    }
    /// The same where the successor starts them elsewhere after the lease that it granted.
    void a_predecessor_starts_nothing_on_a_restarted_worker_out_of_reach() {
        restart_beside_predecessor("w1", seconds(12));
        assert_invariants();
        assert_all_run("a", task_count);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(superseded_restart_test);

} // namespace
} // namespace figwinch::sim
