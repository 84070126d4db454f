#include "tests/cell/recovery_fixture.h"

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A job of which the log doesn't take a record: over the limit that the hosts know, or over a
/// lower one of the log.
class unrecordable_job_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(unrecordable_job_test);
    CPPUNIT_TEST(a_record_that_the_log_rejects_holds_up_no_other_job);
    CPPUNIT_TEST(a_start_behind_a_rejected_record_reaches_no_other_incarnation);
    CPPUNIT_TEST_SUITE_END();

    // A job's record of its workers takes two bytes for each: it fits for the first workers, and no
    // more for all.
    static constexpr std::size_t record_limit_bytes = 160;
    static constexpr std::size_t first_workers = 60;
    static constexpr std::size_t all_workers = 110;

    static void add_workers(cell_world& world, std::size_t from, std::size_t end) {
        for (std::size_t index = from; index < end; ++index)
            world.add_worker("w" + std::to_string(index));
        world.time().run_for(seconds(2));
    }
    /// Submits a job of tasks that take a whole worker each, on the first workers and then on all.
    static void start_wide_job(cell_world& world) {
        world.checker().failure_probability = 0;
        world.checker().best_effort_length = seconds(40);
        world.time().run_for(seconds(2));
        step_spec step = cell_world::make_step(all_workers, 3900);
        step.is_best_effort = true;
        world.submit(0, "a", cell_world::make_job({step}));
        world.time().run_for(seconds(3));
        add_workers(world, first_workers, all_workers);
    }
    /// Lists a worker's current incarnation with this label.
    static void list_as(cell_world& world, const std::string& name, const std::string& label) {
        sim_fleet::entry& entry = world.fleet().workers.at(name);
        entry.listing.incarnation = entry.worker->born_ms();
        entry.listing.labels = {label};
        world.list_worker(name, "ready");
    }
    static void assert_no_violation(cell_world& world) {
        if (!world.checker().violations.empty())
            CPPUNIT_FAIL(world.checker().violations.front());
    }

public:
    /// Guards against a coordinator that sends a record for ever that the log rejects, while the
    /// records of all other jobs wait behind it.
    void a_record_that_the_log_rejects_holds_up_no_other_job() {
        cell_world world(7, 2, first_workers);
        world.store().max_record_bytes = record_limit_bytes;
        start_wide_job(world);
        const std::size_t rejected = world.store().rejected;
        CPPUNIT_ASSERT(rejected > 0);
        world.submit(0, "b", cell_world::make_job({cell_world::make_step(3, 500)}));
        world.time().run_for(seconds(5));
        for (const char* const task : {"b.0.0.0", "b.0.0.1", "b.0.0.2"})
            CPPUNIT_ASSERT(world.checker().has_succeeded(task));
        CPPUNIT_ASSERT(world.job(0, "a")->phase == job_phase::failed);
        assert_no_violation(world);
    }
    /// Guards against tasks that start on a worker without the label that they require: while their
    /// record waited behind a rejected one, the worker restarted as another kind and was recorded.
    void a_start_behind_a_rejected_record_reaches_no_other_incarnation() {
        cell_world world(7, 1, 2);
        world.checker().failure_probability = 0;
        list_as(world, "w0", "narrow");
        list_as(world, "w1", "wide");
        world.time().run_for(seconds(2));
        world.store().max_record_bytes = record_limit_bytes;
        world.store().service[cell_stream::progress] = milliseconds(1500);
        step_spec unrecordable = cell_world::make_step(40, 10);
        unrecordable.is_service = true;
        world.submit(0, "x", cell_world::make_job({unrecordable}));
        world.time().run_for(milliseconds(200));
        step_spec labelled = cell_world::make_step(2, 1000);
        labelled.label = "wide";
        world.submit(0, "a", cell_world::make_job({labelled}));
        world.time().run_for(milliseconds(200));
        world.fleet().workers.at("w1").worker->reborn();
        list_as(world, "w1", "narrow");
        world.time().run_for(seconds(8));
        CPPUNIT_ASSERT(world.store().rejected > 0);
        CPPUNIT_ASSERT(!world.checker().has_started("a.0.0.0"));
        CPPUNIT_ASSERT(!world.checker().has_started("a.0.0.1"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unrecordable_job_test);

} // namespace
} // namespace figwinch::sim
