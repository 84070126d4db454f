#include "cell/straggler.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch {
namespace {

using std::chrono::milliseconds;

/// Tests the detection of tasks on slow or hanging workers, which delay their step and all steps
/// that depend on it.
class straggler_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(straggler_test);
    CPPUNIT_TEST(a_run_without_progress_stands_still);
    CPPUNIT_TEST(a_long_run_that_gets_on_slowly_doesnt_stand_still);
    CPPUNIT_TEST(nothing_is_said_before_a_run_could_have_got_on);
    CPPUNIT_TEST(the_usual_time_takes_three_samples);
    CPPUNIT_TEST(a_run_at_a_sixth_of_the_speed_is_a_straggler);
    CPPUNIT_TEST(a_run_that_is_nearly_done_is_left_alone);
    CPPUNIT_TEST(ordinary_spread_makes_no_stragglers);
    CPPUNIT_TEST(saved_progress_makes_moving_cheaper);
    CPPUNIT_TEST(an_adopted_run_of_a_slow_task_doesnt_stand_still);
    CPPUNIT_TEST(progress_before_an_adoption_makes_no_run_time_short);
    CPPUNIT_TEST_SUITE_END();

    static run_progress progress(int worked_ms, int unchanged_ms, int percent,
                                 int estimate_ms = 1000) {
        return {milliseconds(worked_ms), milliseconds(unchanged_ms), percent,
                milliseconds(estimate_ms)};
    }

    /// A run that was adopted at `first` percent.
    static run_progress adopted(int worked_ms, int unchanged_ms, int first, int percent,
                                int estimate_ms) {
        run_progress run = progress(worked_ms, unchanged_ms, percent, estimate_ms);
        run.first_percent = first;
        return run;
    }

public:
    void a_run_without_progress_stands_still() {
        CPPUNIT_ASSERT(is_stalled(progress(3000, 2500, 40)));
        CPPUNIT_ASSERT(is_stalled(progress(2500, 2500, 0)));
    }
    /// In a task of ten minutes one percent takes 6 s, during which its percentage doesn't change.
    void a_long_run_that_gets_on_slowly_doesnt_stand_still() {
        CPPUNIT_ASSERT(!is_stalled(progress(60'000, 5900, 9, 600'000)));
        CPPUNIT_ASSERT(!is_stalled(progress(5900, 5900, 0, 600'000)));
        CPPUNIT_ASSERT(is_stalled(progress(200'000, 140'000, 10, 600'000)));
    }
    void nothing_is_said_before_a_run_could_have_got_on() {
        CPPUNIT_ASSERT(!is_stalled(progress(1500, 1500, 0)));
        CPPUNIT_ASSERT(!is_stalled(progress(9000, 9000, 100)));
    }
    void the_usual_time_takes_three_samples() {
        CPPUNIT_ASSERT(!typical_run_time({milliseconds(600)}, {progress(300, 0, 50)}).has_value());
        // Runs with little progress don't count as samples.
        CPPUNIT_ASSERT(
            !typical_run_time({milliseconds(600)}, {progress(300, 0, 50), progress(300, 0, 5)})
                 .has_value());
        const auto usual =
            typical_run_time({milliseconds(500), milliseconds(700)}, {progress(300, 0, 50)});
        CPPUNIT_ASSERT(usual == milliseconds(600));
    }
    void a_run_at_a_sixth_of_the_speed_is_a_straggler() {
        CPPUNIT_ASSERT(is_straggler(progress(1300, 0, 33), milliseconds(640), false));
        CPPUNIT_ASSERT(is_straggler(progress(1300, 1300, 0), milliseconds(640), false));
    }
    void a_run_that_is_nearly_done_is_left_alone() {
        CPPUNIT_ASSERT(!is_straggler(progress(3500, 0, 90), milliseconds(640), false));
    }
    void ordinary_spread_makes_no_stragglers() {
        for (int percent = 1; percent < 100; ++percent)
            CPPUNIT_ASSERT(
                !is_straggler(progress(9 * percent, 0, percent), milliseconds(640), false));
    }
    void saved_progress_makes_moving_cheaper() {
        const run_progress slow = progress(30'000, 0, 60);
        CPPUNIT_ASSERT(!is_straggler(slow, milliseconds(16'000), false));
        CPPUNIT_ASSERT(is_straggler(slow, milliseconds(16'000), true));
    }
    /// Guards against moving a long run a few seconds after its adoption, as if it had made its
    /// progress in no time.
    void an_adopted_run_of_a_slow_task_doesnt_stand_still() {
        CPPUNIT_ASSERT(!is_stalled(adopted(5900, 5900, 40, 40, 600'000)));
        CPPUNIT_ASSERT(!is_stalled(adopted(9000, 5900, 40, 41, 600'000)));
        CPPUNIT_ASSERT(is_stalled(adopted(160'000, 160'000, 40, 40, 600'000)));
    }
    /// Guards against healthy runs that are moved because adopted ones of their step seem to have
    /// been much faster.
    void progress_before_an_adoption_makes_no_run_time_short() {
        const run_progress late = adopted(600, 0, 70, 76, 10'000);
        CPPUNIT_ASSERT(!projected_run_time(late).has_value());
        CPPUNIT_ASSERT(!typical_run_time({}, {late, late, late}).has_value());
        const run_progress early = adopted(5000, 0, 10, 60, 10'000);
        CPPUNIT_ASSERT(typical_run_time({}, {early, early, early}) == milliseconds(10'000));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(straggler_test);

} // namespace
} // namespace figwinch
