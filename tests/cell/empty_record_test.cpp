#include "tests/cell/recovery_fixture.h"

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The log takes a keyed record without a value for a deletion: no record that must stay may be
/// empty.
class empty_record_test : public recovery_fixture {
    CPPUNIT_TEST_SUITE(empty_record_test);
    CPPUNIT_TEST(no_encoding_is_empty);
    CPPUNIT_TEST(a_worker_that_may_hold_a_longer_lease_stays_recorded);
    CPPUNIT_TEST(tasks_of_a_worker_that_restarted_beside_a_change_run_once);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint32_t task_count = 8;

    /// Replaces the coordinator; another host takes over at once.
    void replace_coordinator() {
        const std::size_t leading = *world_.coordinator();
        world_.kill_host(leading);
        world_.start_host(leading);
    }
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(empty_record_test);

} // namespace
} // namespace figwinch::sim
