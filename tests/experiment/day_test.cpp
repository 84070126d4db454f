#include "tools/experiment/day.h"

#include "tests/experiment/small_load.h"
#include "tools/experiment/day_plan.h"
#include "tools/experiment/day_runner.h"
#include "tools/experiment/results.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace figwinch::experiment {
namespace {

/// The last seed that a test plays; each plays from 1 on.
constexpr std::uint64_t last_seed = 5;

class day_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(day_test);
    CPPUNIT_TEST(the_same_seed_gives_the_same_bytes);
    CPPUNIT_TEST(threads_change_no_result);
    CPPUNIT_TEST(another_seed_gives_another_day);
    CPPUNIT_TEST(a_class_doesnt_change_the_jobs_of_others);
    CPPUNIT_TEST(failures_and_arrivals_change_no_job);
    CPPUNIT_TEST(a_calm_day_ends_all_jobs_and_serves);
    CPPUNIT_TEST(a_day_with_a_lost_data_centre_ends_all_jobs);
    CPPUNIT_TEST(a_day_with_lost_workers_ends_all_jobs);
    CPPUNIT_TEST(a_worker_that_is_back_before_the_list_tells_takes_work);
    CPPUNIT_TEST(a_day_with_a_slow_log_ends_all_jobs_later);
    CPPUNIT_TEST(filling_work_that_slows_more_serves_less);
    CPPUNIT_TEST(failed_runs_are_started_again);
    CPPUNIT_TEST(a_task_that_always_fails_fails_its_job);
    CPPUNIT_TEST(a_job_of_the_last_moment_is_followed);
    CPPUNIT_TEST_SUITE_END();

    static std::string bytes_of(const std::vector<std::vector<day_result>>& days) {
        const results found{days, {}};
        std::ostringstream out;
        write_days_csv(out, found);
        write_json(out, found);
        return out.str();
    }
    static void ended_all(const class_result& of) {
        CPPUNIT_ASSERT(of.handed_in > 0);
        CPPUNIT_ASSERT_EQUAL(of.handed_in, of.accepted);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, of.failed);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, of.unfinished);
        CPPUNIT_ASSERT_EQUAL(of.accepted, of.in_time + of.late);
    }
    /// Plays a day, in which all jobs that end did.
    static day_result play_whole(const setup& with, std::uint64_t seed) {
        day_result day = play_day(with, seed);
        ended_all(day.classes[0]);
        ended_all(day.classes[1]);
        return day;
    }

    /// Of the first class, in the order in which its jobs come.
    static std::vector<double> works_of_first(const std::vector<planned_job>& jobs) {
        std::vector<double> works;
        for (const planned_job& job : jobs)
            if (job.of_class == 0)
                works.push_back(job.work);
        return works;
    }

    void the_same_seed_gives_the_same_bytes() {
        setup with = small_setup();
        with.load.failing = 0.1;
        with.load.losses.push_back({std::chrono::seconds(8), 2, -1, std::chrono::seconds(6)});
        for (std::uint64_t seed = 1; seed <= last_seed; ++seed)
            CPPUNIT_ASSERT_EQUAL(bytes_of({{play_day(with, seed)}}),
                                 bytes_of({{play_day(with, seed)}}));
    }
    /// Guards against days that share state: results that change with the number of threads.
    void threads_change_no_result() {
        setup other = small_setup();
        other.name = "variant";
        other.load.failing = 0.2;
        const std::vector<setup> both = {small_setup(), other};
        std::vector<std::size_t> told;
        const auto note = [&told](std::size_t played, std::size_t) { told.push_back(played); };
        const std::string alone = bytes_of(play_days(both, {3, 4, 1}, note));
        CPPUNIT_ASSERT_EQUAL(alone, bytes_of(play_days(both, {3, 4, 3}, note)));
        CPPUNIT_ASSERT(told ==
                       std::vector<std::size_t>({1, 2, 3, 4, 5, 6, 7, 8, 1, 2, 3, 4, 5, 6, 7, 8}));
    }
    void another_seed_gives_another_day() {
        const day_result one = play_day(small_setup(), 1);
        const day_result other = play_day(small_setup(), 2);
        CPPUNIT_ASSERT(one.classes.back().work != other.classes.back().work);
    }
    /// Guards against pairs of days that differ by chance: one source of chance for all classes.
    void a_class_doesnt_change_the_jobs_of_others() {
        load_spec with = small_setup().load;
        const std::vector<planned_job> before = plan_day(with, 1);
        with.classes[1].arrivals_per_s = 3;
        const std::vector<planned_job> after = plan_day(with, 1);
        CPPUNIT_ASSERT(before.size() != after.size());
        CPPUNIT_ASSERT(!works_of_first(before).empty());
        CPPUNIT_ASSERT(works_of_first(before) == works_of_first(after));
    }
    /// Guards against variants of a load that play other jobs: draws that go on from job to job.
    void failures_and_arrivals_change_no_job() {
        load_spec with = small_setup().load;
        const std::vector<double> before = works_of_first(plan_day(with, 1));
        with.failing = 0.5;
        CPPUNIT_ASSERT(before == works_of_first(plan_day(with, 1)));
        with.arrivals_factor = 3;
        std::vector<double> more = works_of_first(plan_day(with, 1));
        CPPUNIT_ASSERT(more.size() > before.size());
        more.resize(before.size());
        CPPUNIT_ASSERT(before == more);
    }
    void a_calm_day_ends_all_jobs_and_serves() {
        for (std::uint64_t seed = 1; seed <= last_seed; ++seed) {
            const day_result day = play_whole(small_setup(), seed);
            CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, day.classes.back().lapses);
            CPPUNIT_ASSERT(day.classes[2].share_served.value() > 0.9);
            CPPUNIT_ASSERT(!day.classes[2].p50_s);
            CPPUNIT_ASSERT(!day.classes[0].share_served);
        }
    }
    /// Guards against a lost data centre whose tasks never run again.
    void a_day_with_a_lost_data_centre_ends_all_jobs() {
        setup with = small_setup();
        with.load.losses.push_back({std::chrono::seconds(8), 0, 1, std::chrono::seconds(10)});
        std::int64_t lapses = 0;
        for (std::uint64_t seed = 1; seed <= last_seed; ++seed)
            lapses += play_whole(with, seed).classes.back().lapses;
        CPPUNIT_ASSERT(lapses > 0);
    }
    /// Guards against workers that are lost for good and whose tasks are waited for.
    void a_day_with_lost_workers_ends_all_jobs() {
        setup with = small_setup();
        with.load.losses.push_back({std::chrono::seconds(8), 2, -1, duration{}});
        std::int64_t lapses = 0;
        for (std::uint64_t seed = 1; seed <= last_seed; ++seed)
            lapses += play_whole(with, seed).classes.back().lapses;
        CPPUNIT_ASSERT(lapses > 0);
    }
    /// Guards against a worker that the list drops after it has come back.
    void a_worker_that_is_back_before_the_list_tells_takes_work() {
        setup with = small_setup();
        with.load.losses.push_back({std::chrono::seconds(2), 6, -1, std::chrono::seconds(1)});
        for (std::uint64_t seed = 1; seed <= last_seed; ++seed)
            play_whole(with, seed);
    }
    /// Guards against a log that is slow for the rest of the day.
    void a_day_with_a_slow_log_ends_all_jobs_later() {
        setup with = small_setup();
        with.load.slow_logs.push_back(
            {duration{}, std::chrono::seconds(10), std::chrono::milliseconds(300)});
        setup whole_day = small_setup();
        whole_day.load.log_delay = std::chrono::milliseconds(300);
        for (std::uint64_t seed = 1; seed <= last_seed; ++seed) {
            const double calm = play_whole(small_setup(), seed).classes[0].p50_s.value();
            const double half = play_whole(with, seed).classes[0].p50_s.value();
            CPPUNIT_ASSERT(half > calm);
            CPPUNIT_ASSERT(half < play_whole(whole_day, seed).classes[0].p50_s.value());
        }
    }
    void filling_work_that_slows_more_serves_less() {
        // Serving tasks on every worker, so that filling ones can't keep away from them.
        setup harmless = small_setup();
        harmless.load.classes[2].jobs_at_start = 6;
        harmless.load.slowdown_per_core = 0;
        setup harmful = harmless;
        harmful.load.slowdown_per_core = 1;
        for (std::uint64_t seed = 1; seed <= last_seed; ++seed)
            CPPUNIT_ASSERT(play_day(harmless, seed).classes[2].share_served.value() >
                           play_day(harmful, seed).classes[2].share_served.value());
    }
    void failed_runs_are_started_again() {
        setup with = small_setup();
        with.load.failing = 0.2;
        const class_result calm = play_whole(small_setup(), 1).classes[0];
        const class_result failing = play_day(with, 1).classes[0];
        CPPUNIT_ASSERT_EQUAL(calm.handed_in, failing.handed_in);
        CPPUNIT_ASSERT(failing.starts > calm.starts);
    }
    void a_task_that_always_fails_fails_its_job() {
        setup with = small_setup();
        with.load.failing = 1;
        const class_result quick = play_day(with, 1).classes[0];
        CPPUNIT_ASSERT(quick.handed_in > 0);
        CPPUNIT_ASSERT_EQUAL(quick.handed_in, quick.failed);
        CPPUNIT_ASSERT_EQUAL(0.0, quick.worth.value());
        CPPUNIT_ASSERT(!quick.p50_s);
    }
    /// Guards against a day that is over while the log's answer to a caller is on its way.
    void a_job_of_the_last_moment_is_followed() {
        setup with = small_setup();
        class_load& quick = with.load.classes[0];
        with.load.classes.resize(1);
        quick.arrivals_per_s = 0;
        quick.burst_jobs = 2;
        quick.burst_every = with.load.day - std::chrono::milliseconds(50);
        with.load.log_delay = std::chrono::milliseconds(300);
        const class_result result = play_day(with, 1).classes[0];
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, result.handed_in);
        ended_all(result);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(day_test);

} // namespace
} // namespace figwinch::experiment
