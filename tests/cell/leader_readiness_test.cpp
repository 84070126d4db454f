#include "tests/cell/cell_world.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Guards against a host that stays coordinator without being able to schedule. Renewals are small
/// and pass links on which nothing else arrives in time.
class leader_readiness_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(leader_readiness_test);
    CPPUNIT_TEST(a_host_that_is_still_loading_doesnt_keep_others_from_coordinating);
    CPPUNIT_TEST(a_coordinator_whose_view_stays_old_steps_down);
    CPPUNIT_TEST_SUITE_END();

    cell_world world_{7, 3, 4};

    std::string phase(std::size_t host, const std::string& id) {
        const job_entry* const job = world_.job(host, id);
        return job == nullptr ? "unknown" : to_string(job->phase);
    }
    void assert_invariants() {
        if (!world_.checker().violations.empty())
            CPPUNIT_FAIL(world_.checker().violations.front());
    }

public:
    /// Guards against a cell that has no working coordinator while one host loads, although other
    /// hosts have loaded.
    void a_host_that_is_still_loading_doesnt_keep_others_from_coordinating() {
        world_.checker().failure_probability = 0;
        for (std::size_t host = 0; host < 3; ++host)
            world_.kill_host(host);
        world_.start_host(0);
        world_.host(0)->way_to_log().unreadable = cell_stream::intake;
        world_.time().run_for(milliseconds(100));
        world_.start_host(1);
        world_.start_host(2);
        world_.time().run_for(milliseconds(500));
        world_.submit(1, "a", cell_world::make_job({cell_world::make_step(3, 500)}));
        world_.time().run_for(seconds(10));
        CPPUNIT_ASSERT(world_.coordinator().has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("succeeded"), phase(1, "a"));
        assert_invariants();
    }
    /// Guards against a coordinator that must not start tasks, because its link is too slow to
    /// follow the workers' notices, and doesn't step down.
    void a_coordinator_whose_view_stays_old_steps_down() {
        world_.checker().failure_probability = 0;
        world_.time().run_for(seconds(2));
        const std::size_t first = *world_.coordinator();
        world_.host(first)->way_to_log().unreadable = cell_stream::workers;
        world_.time().run_for(seconds(2));
        const std::size_t other = (first + 1) % world_.hosts();
        world_.submit(other, "a", cell_world::make_job({cell_world::make_step(3, 500)}));
        world_.time().run_for(seconds(15));
        CPPUNIT_ASSERT_EQUAL(std::string("succeeded"), phase(other, "a"));
        assert_invariants();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leader_readiness_test);

} // namespace
} // namespace figwinch::sim
