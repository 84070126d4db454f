#include "tests/cell/recovery_fixture.h"

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Recurring jobs: their steps run several times, each occurrence at its own due time.
class repeats_test : public recovery_fixture {
    CPPUNIT_TEST_SUITE(repeats_test);
    CPPUNIT_TEST(occurrences_start_when_they_are_due);
    CPPUNIT_TEST(occurrences_overlap);
    CPPUNIT_TEST(occurrences_go_on_after_a_change_of_coordinator);
    CPPUNIT_TEST(occurrences_that_were_missed_run_once_each);
    CPPUNIT_TEST(steps_of_an_occurrence_keep_their_order);
    CPPUNIT_TEST(no_occurrence_starts_after_a_cancellation);
    CPPUNIT_TEST(a_long_past_schedule_holds_up_no_other_job);
    CPPUNIT_TEST(a_past_schedule_is_made_up_for);
    CPPUNIT_TEST(every_occurrence_of_lasting_tasks_starts);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::int64_t first_after_ms = 2000;
    static constexpr std::int64_t interval_ms = 1500;
    /// An occurrence must not have started this long before its due time, and must have started
    /// this long after it.
    static constexpr std::int64_t early_ms = 250;
    static constexpr std::int64_t late_ms = 500;

    std::int64_t submitted_ms_ = 0;

    std::int64_t now_ms() { return world_.time().clock().wall_now().time_since_epoch().count(); }
    job_spec repeated(std::uint32_t times, std::vector<step_spec> steps) {
        job_spec job = cell_world::make_job(std::move(steps));
        submitted_ms_ = now_ms();
        job.repeats = times;
        job.first_due_ms = submitted_ms_ + first_after_ms;
        job.interval_ms = interval_ms;
        return job;
    }
    static std::string task_of(std::uint32_t occurrence, std::uint32_t step, std::uint32_t index) {
        return to_string(task_name{job_id("a"), occurrence, step, index});
    }
    /// Runs the simulation until this long after the job was submitted.
    void run_to(std::int64_t after_ms) {
        world_.time().run_for(milliseconds(submitted_ms_ + after_ms - now_ms()));
    }
    bool begun(std::uint32_t occurrence) {
        return world_.checker().has_started(task_of(occurrence, 0, 0));
    }

public:
    /// Guards against occurrences that start before they are due, or only at a later check.
    void occurrences_start_when_they_are_due() {
        start_cell();
        world_.submit(0, "a", repeated(3, {cell_world::make_step(2, 500)}));
        for (std::uint32_t number = 0; number < 3; ++number) {
            const std::int64_t due_ms = first_after_ms + number * interval_ms;
            run_to(due_ms - early_ms);
            CPPUNIT_ASSERT(!begun(number));
            run_to(due_ms + late_ms);
            CPPUNIT_ASSERT(begun(number));
        }
        world_.time().run_for(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, world_.checker().starts);
        assert_invariants();
    }
    /// Guards against an occurrence that waits for the end of the previous one.
    void occurrences_overlap() {
        start_cell();
        step_spec step = cell_world::make_step(1, 500);
        step.is_best_effort = true;
        world_.checker().best_effort_length = seconds(10);
        world_.submit(0, "a", repeated(3, {step}));
        run_to(first_after_ms + 2 * interval_ms + late_ms);
        for (std::uint32_t number = 0; number < 3; ++number)
            CPPUNIT_ASSERT(world_.checker().is_running(task_of(number, 0, 0)));
        assert_invariants();
    }
    /// Guards against a successor that counts occurrences from the beginning or skips some.
    void occurrences_go_on_after_a_change_of_coordinator() {
        start_cell();
        world_.submit(0, "a", repeated(5, {cell_world::make_step(2, 500)}));
        run_to(first_after_ms + interval_ms + late_ms);
        world_.kill_host(*world_.coordinator());
        run_to(first_after_ms + 5 * interval_ms + 6000);
        for (std::uint32_t number = 0; number < 5; ++number)
            for (std::uint32_t index = 0; index < 2; ++index)
                CPPUNIT_ASSERT(world_.checker().has_succeeded(task_of(number, 0, index)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{10}, world_.checker().starts);
        assert_invariants();
    }
    /// Guards against skipping occurrences that became due while all hosts were down.
    void occurrences_that_were_missed_run_once_each() {
        start_cell();
        world_.submit(0, "a", repeated(3, {cell_world::make_step(1, 500)}));
        run_to(first_after_ms - 1000);
        for (std::size_t host = 0; host < world_.hosts(); ++host)
            world_.kill_host(host);
        run_to(first_after_ms + 3 * interval_ms);
        for (std::size_t host = 0; host < world_.hosts(); ++host)
            world_.start_host(host);
        world_.time().run_for(seconds(10));
        for (std::uint32_t number = 0; number < 3; ++number)
            CPPUNIT_ASSERT(world_.checker().has_succeeded(task_of(number, 0, 0)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, world_.checker().starts);
        assert_invariants();
    }
    /// Guards against a step that starts because an earlier step ended in another occurrence.
    void steps_of_an_occurrence_keep_their_order() {
        start_cell();
        step_spec second = cell_world::make_step(2, 500);
        second.depends_on = {0};
        world_.checker().long_tasks = true;
        world_.submit(0, "a", repeated(4, {cell_world::make_step(3, 500), second}));
        run_to(first_after_ms + 4 * interval_ms + 6000);
        for (std::uint32_t number = 0; number < 4; ++number)
            CPPUNIT_ASSERT(world_.checker().has_succeeded(task_of(number, 1, 1)));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{20}, world_.checker().starts);
        assert_invariants();
    }
    void no_occurrence_starts_after_a_cancellation() {
        start_cell();
        world_.submit(0, "a", repeated(5, {cell_world::make_step(1, 500)}));
        run_to(first_after_ms + late_ms);
        world_.cancel(0, "a");
        run_to(first_after_ms + 6 * interval_ms);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, world_.checker().starts);
        assert_invariants();
    }
    /// Guards against a cell in which nothing is recorded any more, because the progress of one job
    /// is larger than the log's records may be.
    void a_long_past_schedule_holds_up_no_other_job() {
        constexpr std::uint32_t times = 40'000;
        start_cell();
        job_spec scheduled = repeated(times, {cell_world::make_step(1, 100)});
        scheduled.interval_ms = 60'000;
        scheduled.first_due_ms = now_ms() - times * scheduled.interval_ms;
        world_.submit(0, "a", scheduled);
        world_.time().run_for(seconds(2));
        world_.submit(1, "b", cell_world::make_job({cell_world::make_step(2, 500)}));
        world_.time().run_for(seconds(8));
        CPPUNIT_ASSERT(begun(0));
        CPPUNIT_ASSERT(world_.job(1, "b")->phase == job_phase::succeeded);
        assert_invariants();
    }
    /// Guards against occurrences that are left out because too many are due at once.
    void a_past_schedule_is_made_up_for() {
        constexpr std::uint32_t times = 600;
        start_cell();
        job_spec scheduled = repeated(times, {cell_world::make_step(1, 100)});
        scheduled.first_due_ms = now_ms() - times * interval_ms;
        world_.submit(0, "a", scheduled);
        world_.time().run_for(seconds(10));
        world_.kill_host(*world_.coordinator());
        world_.time().run_for(seconds(40));
        CPPUNIT_ASSERT(world_.job(1, "a")->phase == job_phase::succeeded);
        CPPUNIT_ASSERT(begun(times - 1));
        assert_invariants();
    }
    /// Guards against occurrences that wait for the end of earlier ones whose tasks never end.
    void every_occurrence_of_lasting_tasks_starts() {
        constexpr std::uint32_t times = 300;
        start_cell();
        step_spec lasting = cell_world::make_step(1, 10);
        lasting.size = {10, 10, 0};
        lasting.is_service = true;
        job_spec scheduled = repeated(times, {lasting});
        scheduled.first_due_ms = now_ms() - times * interval_ms;
        world_.submit(0, "a", scheduled);
        world_.time().run_for(seconds(20));
        for (std::uint32_t number = 0; number < times; ++number)
            CPPUNIT_ASSERT(begun(number));
        assert_invariants();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(repeats_test);

} // namespace
} // namespace figwinch::sim
