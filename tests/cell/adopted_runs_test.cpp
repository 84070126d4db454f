#include "tests/cell/recovery_fixture.h"

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Runs that a coordinator finds on the workers when it begins its term.
class adopted_runs_test : public recovery_fixture {
    CPPUNIT_TEST_SUITE(adopted_runs_test);
    CPPUNIT_TEST(runs_arent_moved_after_changes_of_coordinator);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against runs that are moved as stragglers because the time since the adoption of a
    /// run is taken for the time in which it has made all of its progress: the usual run time of
    /// its step looks too short.
    void runs_arent_moved_after_changes_of_coordinator() {
        constexpr std::uint32_t tasks = 64;
        start_cell();
        // 5 to 12 s each.
        world_.checker().long_run_share = 1;
        step_spec step = cell_world::make_step(tasks, 1000);
        step.estimate = seconds(10);
        world_.submit(0, "a", cell_world::make_job({step}));
        for (int round = 0; round < 3; ++round) {
            world_.time().run_for(seconds(4));
            const std::size_t first = *world_.coordinator();
            world_.kill_host(first);
            world_.time().run_for(milliseconds(2500));
            CPPUNIT_ASSERT(world_.coordinator().has_value());
            world_.start_host(first);
        }
        world_.time().run_for(seconds(60));
        CPPUNIT_ASSERT_EQUAL(std::string("succeeded"),
                             std::string(to_string(world_.job(0, "a")->phase)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{tasks}, world_.checker().starts);
        assert_invariants();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(adopted_runs_test);

} // namespace
} // namespace figwinch::sim
