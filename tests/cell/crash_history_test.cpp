#include "cell/crash_history.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The rules that tell a task which crashes its workers from those that ran beside it.
class crash_history_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(crash_history_test);
    CPPUNIT_TEST(two_confirmed_crashes_alone_are_enough);
    CPPUNIT_TEST(unconfirmed_crashes_alone_are_not_enough);
    CPPUNIT_TEST(a_task_that_was_never_alone_is_given_up_after_four);
    CPPUNIT_TEST(a_task_that_crashes_workers_before_they_answer_is_given_up_after_four);
    CPPUNIT_TEST(starts_that_may_not_have_arrived_are_not_counted_as_crashes);
    CPPUNIT_TEST(workers_that_may_be_out_of_reach_are_not_counted_as_crashes);
    CPPUNIT_TEST(a_task_is_given_up_after_five_losses_of_any_kind);
    CPPUNIT_TEST(one_loss_of_a_long_run_makes_no_suspect);
    CPPUNIT_TEST(a_loss_is_counted_once);
    CPPUNIT_TEST(a_trial_of_an_earlier_term_counts);
    CPPUNIT_TEST(unconfirmed_crashes_of_earlier_terms_count);
    CPPUNIT_TEST(trials_last_longer_than_the_lost_runs);
    CPPUNIT_TEST_SUITE_END();

    task_progress task_;

    void add(std::uint64_t run, crash_suspicion suspicion, bool confirmed,
             duration age = milliseconds(20)) {
        add_crash(task_, {run_number(run), age, suspicion, confirmed});
    }

public:
    void two_confirmed_crashes_alone_are_enough() {
        add(1, crash_suspicion::sole, true);
        CPPUNIT_ASSERT(is_crash_suspect(task_) && !must_give_up(task_));
        add(2, crash_suspicion::sole, true);
        CPPUNIT_ASSERT(must_give_up(task_));
    }
    void unconfirmed_crashes_alone_are_not_enough() {
        add(1, crash_suspicion::sole, false);
        add(2, crash_suspicion::sole, false);
        CPPUNIT_ASSERT(!must_give_up(task_));
    }
    void a_task_that_was_never_alone_is_given_up_after_four() {
        for (std::uint64_t run = 1; run <= 3; ++run)
            add(run, crash_suspicion::shared, true);
        CPPUNIT_ASSERT(!must_give_up(task_));
        add(4, crash_suspicion::shared, false);
        CPPUNIT_ASSERT(must_give_up(task_));
    }
    void a_task_that_crashes_workers_before_they_answer_is_given_up_after_four() {
        for (std::uint64_t run = 1; run <= 3; ++run)
            add(run, crash_suspicion::unseen, true);
        CPPUNIT_ASSERT(!must_give_up(task_));
        add(4, crash_suspicion::unseen, true);
        CPPUNIT_ASSERT(must_give_up(task_));
    }
    /// Guards against giving up a task under which one worker restarted, because of starts that
    /// were sent to workers that had just ended.
    void starts_that_may_not_have_arrived_are_not_counted_as_crashes() {
        add(1, crash_suspicion::sole, true);
        add(2, crash_suspicion::unseen, true);
        add(3, crash_suspicion::unseen, true);
        add(4, crash_suspicion::sole, false);
        CPPUNIT_ASSERT(!must_give_up(task_));
    }
    /// Guards against giving up a task whose workers were cut off soon after its starts.
    void workers_that_may_be_out_of_reach_are_not_counted_as_crashes() {
        add(1, crash_suspicion::shared, true);
        for (std::uint64_t run = 2; run <= 4; ++run)
            add(run, crash_suspicion::shared, false);
        CPPUNIT_ASSERT(!must_give_up(task_));
    }
    /// Guards against starts without bound of a task whose crashes look different each time.
    void a_task_is_given_up_after_five_losses_of_any_kind() {
        add(1, crash_suspicion::unseen, true);
        add(2, crash_suspicion::shared, false);
        add(3, crash_suspicion::unseen, false);
        add(4, crash_suspicion::sole, false);
        CPPUNIT_ASSERT(!must_give_up(task_));
        add(5, crash_suspicion::unseen, false);
        CPPUNIT_ASSERT(must_give_up(task_));
    }
    /// Guards against trials of every task that was lost with a worker.
    void one_loss_of_a_long_run_makes_no_suspect() {
        add(1, crash_suspicion::weak, true, seconds(5));
        CPPUNIT_ASSERT(!is_crash_suspect(task_));
        add(2, crash_suspicion::weak, true, seconds(5));
        CPPUNIT_ASSERT(is_crash_suspect(task_));
    }
    /// Guards against counting a loss again when it is confirmed.
    void a_loss_is_counted_once() {
        add(1, crash_suspicion::sole, false);
        add(1, crash_suspicion::sole, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, task_.crashed_runs.size());
        CPPUNIT_ASSERT(task_.crashed_runs.front().confirmed);
        CPPUNIT_ASSERT(withdraw_crash(task_, run_number(1)));
        CPPUNIT_ASSERT(!is_crash_suspect(task_));
    }
    void a_trial_of_an_earlier_term_counts() {
        add(1, crash_suspicion::sole, true);
        task_.trial_run = run_number(2);
        settle_earlier_trial(task_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, task_.crashed_runs.size());
        CPPUNIT_ASSERT(task_.trial_run.is_none());
    }
    /// Guards against starts without bound when each crash is followed by a change of coordinator,
    /// whose successor can't learn that the worker's process has ended.
    void unconfirmed_crashes_of_earlier_terms_count() {
        for (std::uint64_t run = 1; run <= 4; ++run)
            add(run, crash_suspicion::sole, false);
        CPPUNIT_ASSERT(!must_give_up(task_));
        settle_earlier_crashes(task_, run_number(5));
        CPPUNIT_ASSERT(must_give_up(task_));
    }
    /// Guards against a task that crashes its workers after some seconds, which every trial clears.
    void trials_last_longer_than_the_lost_runs() {
        add(1, crash_suspicion::weak, true, milliseconds(1500));
        CPPUNIT_ASSERT(probation_of(task_) == seconds(3));
        CPPUNIT_ASSERT(time_to_clear(task_) == seconds(3));
        add(2, crash_suspicion::weak, true, seconds(4));
        CPPUNIT_ASSERT(probation_of(task_) == seconds(3));
        CPPUNIT_ASSERT(time_to_clear(task_) == seconds(8));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crash_history_test);

} // namespace
} // namespace figwinch
