#include "tests/cell/recovery_fixture.h"

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A job of which the log doesn't take a record: over the limit that the hosts know, or over a
/// lower one of the log.
class unrecordable_job_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(unrecordable_job_test);
    CPPUNIT_TEST(tasks_on_workers_that_cannot_be_recorded_run_once);
    CPPUNIT_TEST(a_record_that_the_log_rejects_holds_up_no_other_job);
    CPPUNIT_TEST(ends_of_an_unrecordable_job_are_noted_after_its_own_end);
    CPPUNIT_TEST(a_start_behind_a_rejected_record_reaches_no_other_incarnation);
    CPPUNIT_TEST(a_log_that_rejects_everything_for_a_while_ends_no_job);
    CPPUNIT_TEST_SUITE_END();

    // A job's record of its workers takes two bytes for each: it fits for the first workers, and no
    // more for all.
    static constexpr std::size_t record_limit_bytes = 160;
    static constexpr std::size_t first_workers = 60;
    static constexpr std::size_t all_workers = 110;
    static constexpr std::size_t spare_workers = 110;

    static cell_settings with_limit(std::size_t max_record_bytes) {
        cell_settings settings;
        settings.max_record_bytes = max_record_bytes;
        return settings;
    }
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
    /// Guards against a task that runs twice: it was started although the record of its worker was
    /// refused, and the next coordinator starts it elsewhere while its worker is out of reach.
    void tasks_on_workers_that_cannot_be_recorded_run_once() {
        cell_world world(7, 2, first_workers, with_limit(record_limit_bytes));
        start_wide_job(world);
        for (std::size_t index = first_workers; index < all_workers; ++index)
            world.fleet().workers.at("w" + std::to_string(index)).cut = true;
        world.kill_host(*world.coordinator());
        add_workers(world, all_workers, all_workers + spare_workers);
        world.time().run_for(seconds(10));
        assert_no_violation(world);
    }
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
    /// Guards against workers that forget the ends of runs before the log has that their job has
    /// ended: the next coordinator would start these tasks again.
    void ends_of_an_unrecordable_job_are_noted_after_its_own_end() {
        constexpr std::uint32_t tasks = 20;
        cell_world world(7, 1, 1, with_limit(record_limit_bytes));
        world.checker().failure_probability = 1;
        world.checker().long_tasks = true;
        world.time().run_for(seconds(2));
        world.submit(0, "a", cell_world::make_job({cell_world::make_step(tasks, 100)}));
        world.time().run_for(seconds(1));
        world.store().service[cell_stream::progress] = milliseconds(100);
        const instant begun = world.time().now();
        while (world.checker().ends_noted == 0 && world.time().now() - begun < seconds(10))
            world.time().run_for(milliseconds(1));
        CPPUNIT_ASSERT(world.checker().ends_noted > 0);
        const auto& newest = world.store().of(cell_stream::progress).newest;
        const auto record = newest.find(record_key(record_kind::progress, "a"));
        CPPUNIT_ASSERT(record != newest.end());
        CPPUNIT_ASSERT(decode_progress(*record->second.value)->phase == job_phase::failed);
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
    /// Guards against jobs that end as failed because the log, or something before it, answers
    /// every append as it answers one over its limits.
    void a_log_that_rejects_everything_for_a_while_ends_no_job() {
        cell_world world(7, 2, 4);
        world.checker().failure_probability = 0;
        world.time().run_for(seconds(2));
        const std::size_t limit = world.store().max_record_bytes;
        world.submit(0, "a", cell_world::make_job({cell_world::make_step(8, 500)}));
        world.time().run_for(milliseconds(100));
        world.store().max_record_bytes = 0;
        world.time().run_for(seconds(3));
        CPPUNIT_ASSERT(world.store().rejected > 0);
        world.store().max_record_bytes = limit;
        world.time().run_for(seconds(10));
        CPPUNIT_ASSERT(world.job(0, "a")->phase == job_phase::succeeded);
        assert_no_violation(world);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unrecordable_job_test);

} // namespace
} // namespace figwinch::sim
