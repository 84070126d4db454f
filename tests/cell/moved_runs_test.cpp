#include "tests/cell/recovery_fixture.h"

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Runs that are moved from a worker that restarts and is cut off meanwhile.
class moved_runs_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(moved_runs_test);
    CPPUNIT_TEST(a_run_that_is_moved_from_a_restarted_worker_runs_once);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint32_t tasks = 20;

    /// Runs on "w0" hang, and `moved` counts those that are moved. The worker is out of reach
    /// `after` they began to hang, back under its id 600 ms later, and cut off for 9 s another 1.2
    /// s later.
    static std::string first_violation(duration after, std::uint64_t seed, std::uint64_t& moved) {
        cell_settings settings;
        settings.max_granted_lease = seconds(10);
        cell_world world(seed, 3, 4, settings);
        world.checker().failure_probability = 0;
        world.checker().long_run_share = 1;
        world.fleet().late_stops = 0.4;
        world.fleet().late_orders = 0.1;
        world.fleet().lost_answers = 0.2;
        world.time().run_for(seconds(2));
        step_spec step = cell_world::make_step(tasks, 1000);
        step.estimate = seconds(10);
        world.submit(0, "a", cell_world::make_job({step}));
        world.time().run_for(seconds(1));
        sim_fleet::entry& lost = world.fleet().workers.at("w0");
        lost.worker->hangs = true;
        world.time().run_for(after);
        moved += world.host(*world.coordinator())->member().coordinating()->counts().stragglers;
        lost.cut = true;
        lost.worker->reborn();
        lost.worker->hangs = false;
        world.time().run_for(milliseconds(600));
        lost.cut = false;
        world.time().run_for(milliseconds(1200));
        lost.cut = true;
        world.time().run_for(seconds(9));
        lost.cut = false;
        world.time().run_for(seconds(30));
        return world.checker().violations.empty() ? "" : world.checker().violations.front();
    }

public:
    /// Guards against a stop of a run, which names no incarnation of the worker, that lets two runs
    /// of the task overlap when the worker restarts and is cut off.
    void a_run_that_is_moved_from_a_restarted_worker_runs_once() {
        constexpr int steps = 40;
        std::uint64_t moved = 0;
        for (int turn = 0; turn < steps; ++turn)
            CPPUNIT_ASSERT_EQUAL(std::string(),
                                 first_violation(milliseconds(2000 + 50 * turn),
                                                 static_cast<std::uint64_t>(turn), moved));
        CPPUNIT_ASSERT(moved > 0);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(moved_runs_test);

} // namespace
} // namespace figwinch::sim
