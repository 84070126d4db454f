#include "tests/cell/recovery_fixture.h"

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tasks that crash every worker that starts them: how often they are started, and what becomes of
/// the tasks beside them.
class crashing_task_test : public recovery_fixture {
    CPPUNIT_TEST_SUITE(crashing_task_test);
    CPPUNIT_TEST(a_task_that_crashes_its_workers_is_given_up);
    CPPUNIT_TEST(a_task_whose_crashed_workers_return_under_new_ids_is_given_up);
    CPPUNIT_TEST_SUITE_END();

    using worker_return = cell_world::worker_return;
    /// Long enough for as many crashes as a task may cause, each of which takes a lease.
    static constexpr duration time_to_give_up = seconds(60);
    static constexpr duration crash_delay = milliseconds(10);

    static job_spec batch_job(std::uint32_t tasks) {
        return cell_world::make_job({cell_world::make_step(tasks, 500)});
    }
    std::string phase(const std::string& id) {
        const job_entry* const job = world_.job(*world_.coordinator(), id);
        return job == nullptr ? "unknown" : to_string(job->phase);
    }
    void start_cell_with_crashes(worker_return how) {
        start_cell();
        world_.return_crashed_workers(how);
    }
    void submit_crashing(const std::string& id, const job_spec& job) {
        world_.checker().crashing_tasks[task(id, 0)] = crash_delay;
        world_.submit(0, id, job);
    }
    void assert_given_up(const std::string& id) {
        CPPUNIT_ASSERT_EQUAL(std::string("failed"), phase(id));
        CPPUNIT_ASSERT(world_.checker().may_have_failed(id));
        assert_invariants();
    }
    void check_is_given_up(worker_return how) {
        start_cell_with_crashes(how);
        submit_crashing("a", batch_job(1));
        world_.time().run_for(time_to_give_up);
        assert_given_up("a");
    }

public:
    /// Guards against a task that is started without bound because its crashed workers report no
    /// failure.
    void a_task_that_crashes_its_workers_is_given_up() {
        check_is_given_up(worker_return::same_id);
    }
    /// The same where another worker id appears at the address of a crashed worker.
    void a_task_whose_crashed_workers_return_under_new_ids_is_given_up() {
        check_is_given_up(worker_return::new_id);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crashing_task_test);

} // namespace
} // namespace figwinch::sim
