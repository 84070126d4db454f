#include "tests/cell/cell_world.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tests queues with a restricted placement policy, whose advisor decides which workers may run a
/// step. The simulated workers accept a start order only with a valid ticket that was issued for
/// them.
class cell_advice_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(cell_advice_test);
    CPPUNIT_TEST(a_step_runs_where_the_policy_allows);
    CPPUNIT_TEST(tickets_that_lapsed_are_asked_for_again);
    CPPUNIT_TEST(a_silent_advisor_delays_only_its_own_queue);
    CPPUNIT_TEST(a_worker_that_refuses_its_ticket_is_asked_about_again);
    CPPUNIT_TEST(a_successor_asks_for_itself);
    CPPUNIT_TEST(calls_name_few_workers);
    CPPUNIT_TEST_SUITE_END();

    cell_world world_{11, 2, 4};

    sim_policy& policy() { return world_.fleet().policy; }
    static job_spec advised(std::uint32_t tasks, std::int64_t cpu_millis) {
        job_spec job = cell_world::make_job({cell_world::make_step(tasks, cpu_millis)});
        job.queue = queue_name("advised");
        return job;
    }
    void begin(std::set<std::string> good) {
        world_.checker().failure_probability = 0;
        policy().good = std::move(good);
        world_.time().run_for(seconds(2));
    }
    void kept_the_rules() {
        if (!world_.checker().violations.empty())
            CPPUNIT_FAIL(world_.checker().violations.front());
    }
    coordinator_view view() {
        return world_.host(*world_.coordinator())->member().coordinating()->view();
    }
    std::string phase(const std::string& id) {
        const job_entry* const job = world_.job(0, id);
        return job == nullptr ? "unknown" : to_string(job->phase);
    }

public:
    void a_step_runs_where_the_policy_allows() {
        begin({"w1", "w3"});
        world_.submit(0, "adv-a", advised(4, 1000));
        world_.time().run_for(seconds(6));
        CPPUNIT_ASSERT_EQUAL(std::string("succeeded"), phase("adv-a"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, world_.checker().starts);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, policy().calls);
        kept_the_rules();
    }
    /// Guards against starts with an expired ticket. Twelve tasks need three rounds on the only
    /// allowed worker, so that the last ones start after the first ticket has expired.
    void tickets_that_lapsed_are_asked_for_again() {
        begin({"w2"});
        world_.checker().long_tasks = true;
        world_.submit(0, "adv-a", advised(12, 1000));
        world_.time().run_for(seconds(20));
        CPPUNIT_ASSERT_EQUAL(std::string("succeeded"), phase("adv-a"));
        CPPUNIT_ASSERT(policy().calls >= 2);
        kept_the_rules();
    }
    /// Guards against an unresponsive advisor that blocks the jobs of other queues. Jobs of its own
    /// queue must wait and run once the advisor answers again.
    void a_silent_advisor_delays_only_its_own_queue() {
        begin({"w1"});
        policy().silent = true;
        world_.submit(0, "adv-a", advised(2, 1000));
        world_.submit(0, "b", cell_world::make_job({cell_world::make_step(3, 1000)}));
        world_.time().run_for(seconds(6));
        CPPUNIT_ASSERT_EQUAL(std::string("succeeded"), phase("b"));
        CPPUNIT_ASSERT_EQUAL(std::string("open"), phase("adv-a"));
        const auto shown = view();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, shown.jobs.size());
        CPPUNIT_ASSERT(shown.jobs[0].waits_for == wait_reason::advice);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, shown.jobs[0].waiting);
        policy().silent = false;
        world_.time().run_for(seconds(6));
        CPPUNIT_ASSERT_EQUAL(std::string("succeeded"), phase("adv-a"));
        kept_the_rules();
    }
    /// Guards against a task that waits forever after its worker has crashed and lost the ticket.
    void a_worker_that_refuses_its_ticket_is_asked_about_again() {
        begin({"w1"});
        world_.submit(0, "adv-a", advised(6, 2000));
        world_.time().run_for(milliseconds(300));
        policy().tickets.clear();
        world_.time().run_for(seconds(12));
        CPPUNIT_ASSERT_EQUAL(std::string("succeeded"), phase("adv-a"));
        CPPUNIT_ASSERT(policy().calls >= 2);
        kept_the_rules();
    }
    void a_successor_asks_for_itself() {
        begin({"w0"});
        world_.submit(0, "adv-a", advised(6, 2000));
        world_.time().run_for(milliseconds(300));
        const std::size_t first = *world_.coordinator();
        world_.kill_host(first);
        world_.time().run_for(seconds(1));
        world_.start_host(first);
        world_.time().run_for(seconds(20));
        CPPUNIT_ASSERT_EQUAL(std::string("succeeded"), phase("adv-a"));
        kept_the_rules();
    }
    void calls_name_few_workers() {
        cell_world wide(3, 1, 45);
        wide.checker().failure_probability = 0;
        wide.fleet().policy.good = {"w44"};
        wide.time().run_for(seconds(2));
        wide.submit(0, "adv-a", advised(1, 1000));
        wide.time().run_for(seconds(6));
        CPPUNIT_ASSERT(wide.fleet().policy.most_named <= 30);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, wide.checker().starts);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cell_advice_test);

} // namespace
} // namespace figwinch::sim
