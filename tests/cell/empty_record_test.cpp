#include "tests/cell/recovery_fixture.h"

namespace figwinch::sim {
namespace {

using std::chrono::seconds;

/// The log takes a keyed record without a value for a deletion: no record that must stay may be
/// empty.
class empty_record_test : public recovery_fixture {
    CPPUNIT_TEST_SUITE(empty_record_test);
    CPPUNIT_TEST(no_encoding_is_empty);
    CPPUNIT_TEST(a_worker_that_may_hold_a_longer_lease_stays_recorded);
    CPPUNIT_TEST(tasks_of_a_worker_that_restarted_beside_a_change_run_once);
    CPPUNIT_TEST(tasks_of_a_worker_whose_record_is_lost_run_once);
    CPPUNIT_TEST(a_worker_whose_lease_has_ended_is_not_waited_for);
    CPPUNIT_TEST(records_of_workers_that_are_gone_are_removed);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint32_t task_count = 8;

    /// Restarts a worker while the coordinator is replaced, so that it may hold a longer lease than
    /// any that its successor requests.
    void restart_beside_change(const std::string& name) {
        start_cell();
        world_.submit(0, "a", service_job(task_count));
        world_.time().run_for(seconds(10));
        worker(name).reborn();
        replace_coordinator();
        world_.time().run_for(seconds(3));
        CPPUNIT_ASSERT(worker(name).running() > 0);
    }

public:
    /// Guards against a message whose fields all have their default values, which is encoded as no
    /// bytes.
    void no_encoding_is_empty() {
        CPPUNIT_ASSERT(!encode_job({}).empty());
        CPPUNIT_ASSERT(!encode_progress({}).empty());
        CPPUNIT_ASSERT(!encode_worker({}).empty());
    }
    /// Guards against deleting the record of a worker by writing one that is empty.
    void a_worker_that_may_hold_a_longer_lease_stays_recorded() {
        restart_beside_change("w1");
        CPPUNIT_ASSERT(!record(record_kind::worker, "w1").empty());
    }
    /// Guards against a task that runs twice: a successor that reads no record of a worker neither
    /// waits for its report nor for its lease.
    void tasks_of_a_worker_that_restarted_beside_a_change_run_once() {
        restart_beside_change("w1");
        world_.fleet().workers.at("w1").cut = true;
        replace_coordinator();
        world_.time().run_for(seconds(20));
        assert_invariants();
        assert_all_run("a", task_count);
    }
    /// Guards against a task that runs twice: a worker without a record is taken for one without
    /// runs.
    void tasks_of_a_worker_whose_record_is_lost_run_once() {
        start_cell();
        world_.submit(0, "a", service_job(task_count));
        world_.time().run_for(seconds(10));
        CPPUNIT_ASSERT(worker("w1").running() > 0);
        world_.fleet().workers.at("w1").cut = true;
        world_.store().append(cell_stream::progress,
                              {{record_key(record_kind::worker, "w1"), std::nullopt, 0}}, {});
        replace_coordinator();
        world_.time().run_for(seconds(20));
        assert_invariants();
        assert_all_run("a", task_count);
    }
    /// Guards against tasks that wait for a worker's lease after it has ended, because the worker
    /// has no record any more.
    void a_worker_whose_lease_has_ended_is_not_waited_for() {
        start_cell();
        world_.submit(0, "a", service_job(task_count));
        world_.time().run_for(seconds(10));
        world_.fleet().workers.at("w1").cut = true;
        world_.time().run_for(seconds(12));
        const auto idle = decode_worker(record(record_kind::worker, "w1"));
        CPPUNIT_ASSERT(idle && idle->lease_expired);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, unresolved_after_replacement());
    }
    /// Guards against records of workers that no coordinator will ever list again.
    void records_of_workers_that_are_gone_are_removed() {
        start_cell();
        world_.submit(0, "a", service_job(task_count));
        world_.time().run_for(seconds(5));
        lose_worker("w1");
        world_.time().run_for(seconds(8));
        replace_coordinator();
        world_.time().run_for(seconds(30));
        CPPUNIT_ASSERT(record(record_kind::worker, "w1").empty());
        CPPUNIT_ASSERT(!record(record_kind::worker, "w2").empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(empty_record_test);

} // namespace
} // namespace figwinch::sim
