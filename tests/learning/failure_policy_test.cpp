#include "figwinch/learning.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace figwinch {
namespace {

const worker_id bad("worker-bad");

job_id job(int number) {
    return job_id("job-" + std::to_string(number));
}
task_id task(int number) {
    return task_id(job(number).str() + "/0");
}
worker_id worker(int number) {
    return worker_id("worker-" + std::to_string(number));
}

class failure_policy_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(failure_policy_test);
    CPPUNIT_TEST(a_worker_that_fails_everything_is_quarantined);
    CPPUNIT_TEST(a_job_that_fails_everywhere_quarantines_no_worker);
    CPPUNIT_TEST(jobs_that_fail_everywhere_together_quarantine_no_worker);
    CPPUNIT_TEST(bad_workers_are_quarantined_although_their_jobs_are_suspect);
    CPPUNIT_TEST(one_job_failing_many_times_does_not_quarantine);
    CPPUNIT_TEST(a_success_between_failures_keeps_the_worker);
    CPPUNIT_TEST(one_trial_is_let_through_and_its_failure_doubles);
    CPPUNIT_TEST(the_quarantine_stays_under_its_limit);
    CPPUNIT_TEST(a_successful_trial_ends_the_quarantine);
    CPPUNIT_TEST(can_admit_starts_no_trial);
    CPPUNIT_TEST(a_repeated_report_is_no_outcome_of_a_trial);
    CPPUNIT_TEST(a_trial_without_outcome_is_followed_by_another);
    CPPUNIT_TEST(an_old_task_that_finishes_does_not_end_the_quarantine);
    CPPUNIT_TEST(a_forgotten_task_has_no_failures);
    CPPUNIT_TEST(each_attempt_on_one_worker_counts_once);
    CPPUNIT_TEST(failures_on_many_workers_all_count);
    CPPUNIT_TEST_SUITE_END();

    std::unique_ptr<failure_policy> policy_ = failure_policy::create({});
    manual_clock clock_;

    void fail(const worker_id& at, int number) {
        policy_->record_failure(at, task(number), attempt_number(1), job(number), clock_.now());
    }
    void fail_three_jobs() {
        for (const int number : {1, 2, 3})
            fail(bad, number);
    }
    bool quarantined(const worker_id& at) const {
        return policy_->is_quarantined(at, clock_.now());
    }
    bool admit(const worker_id& at) { return policy_->admit(at, clock_.now()); }

    // A worker with a broken disk fails every task at once, so it is always free and gets the next
    // task. Guards against jobs that use up their attempts there though they run elsewhere.
    void a_worker_that_fails_everything_is_quarantined() {
        fail(bad, 1);
        fail(bad, 2);
        CPPUNIT_ASSERT(!quarantined(bad));
        CPPUNIT_ASSERT_EQUAL(1, policy_->counted_failures(task(1)));
        fail(bad, 3);
        CPPUNIT_ASSERT(quarantined(bad));
        CPPUNIT_ASSERT(!admit(bad));
        for (const int number : {1, 2, 3}) {
            CPPUNIT_ASSERT_EQUAL(0, policy_->counted_failures(task(number)));
            CPPUNIT_ASSERT(policy_->failed_on(task(number), bad));
        }
    }

    // A job that crashes on every worker is retried on one after another. Guards against a
    // quarantine of these healthy workers; the failures must count against the job's tasks.
    void a_job_that_fails_everywhere_quarantines_no_worker() {
        for (int at = 0; at < 10; ++at) {
            fail(worker(at), 7);
            CPPUNIT_ASSERT(!quarantined(worker(at)));
        }
        CPPUNIT_ASSERT_EQUAL(10, policy_->counted_failures(task(7)));
    }

    // Three broken jobs are tried on the same workers, so the first workers fail three different
    // jobs and are quarantined. Guards against healthy workers that stay in quarantine until a
    // trial although the jobs have become suspect.
    void jobs_that_fail_everywhere_together_quarantine_no_worker() {
        for (int at = 0; at < 10; ++at) {
            for (const int number : {1, 2, 3})
                fail(worker(at), number);
        }
        for (int at = 0; at < 10; ++at)
            CPPUNIT_ASSERT(!quarantined(worker(at)));
        CPPUNIT_ASSERT(policy_->counted_failures(task(1)) >= 3);
    }

    // Three workers of one rack become faulty together. Single-task jobs fail on all three and
    // become suspect. If failures of suspect jobs counted nothing, the three workers would never be
    // quarantined and would fail one job after another.
    void bad_workers_are_quarantined_although_their_jobs_are_suspect() {
        for (int number = 0; number < 6; ++number) {
            for (int at = 0; at < 3; ++at)
                fail(worker(at), number);
        }
        for (int at = 0; at < 3; ++at)
            CPPUNIT_ASSERT(quarantined(worker(at)));
    }

    void one_job_failing_many_times_does_not_quarantine() {
        for (int i = 0; i < 20; ++i)
            policy_->record_failure(bad, task_id("job-1/" + std::to_string(i)), attempt_number(1),
                                    job(1), clock_.now());
        CPPUNIT_ASSERT(!quarantined(bad));
    }

    void a_success_between_failures_keeps_the_worker() {
        for (int number = 0; number < 20; ++number) {
            fail(bad, number);
            if (number % 2 == 1)
                policy_->record_success(bad, task_id("other/0"), clock_.now());
        }
        CPPUNIT_ASSERT(!quarantined(bad));
    }

    void one_trial_is_let_through_and_its_failure_doubles() {
        fail_three_jobs();
        clock_.advance(std::chrono::minutes(1));
        CPPUNIT_ASSERT(admit(bad));
        CPPUNIT_ASSERT(!admit(bad));
        CPPUNIT_ASSERT(quarantined(bad));
        fail(bad, 4);
        CPPUNIT_ASSERT_EQUAL(0, policy_->counted_failures(task(4)));
        clock_.advance(std::chrono::seconds(119));
        CPPUNIT_ASSERT(!admit(bad));
        clock_.advance(std::chrono::seconds(1));
        CPPUNIT_ASSERT(admit(bad));
    }

    void the_quarantine_stays_under_its_limit() {
        fail_three_jobs();
        for (int number = 10; number < 30; ++number) {
            clock_.advance(std::chrono::minutes(30));
            CPPUNIT_ASSERT(admit(bad));
            fail(bad, number);
        }
    }

    void a_successful_trial_ends_the_quarantine() {
        fail_three_jobs();
        clock_.advance(std::chrono::minutes(1));
        CPPUNIT_ASSERT(admit(bad));
        policy_->record_success(bad, task(4), clock_.now());
        CPPUNIT_ASSERT(!quarantined(bad));
        CPPUNIT_ASSERT(admit(bad));
        CPPUNIT_ASSERT(admit(bad));
    }

    // Placement queries every worker for every task. Guards against a trial that a query starts on
    // a worker that gets no task, and against a worker that is never offered a trial after its
    // quarantine time.
    void can_admit_starts_no_trial() {
        fail_three_jobs();
        CPPUNIT_ASSERT(!policy_->can_admit(bad, clock_.now()));
        clock_.advance(std::chrono::minutes(1));
        for (int i = 0; i < 5; ++i)
            CPPUNIT_ASSERT(policy_->can_admit(bad, clock_.now()));
        CPPUNIT_ASSERT(admit(bad));
        CPPUNIT_ASSERT(!policy_->can_admit(bad, clock_.now()));
    }

    // While the log is unavailable, the worker repeats the reports of the failures that led to its
    // quarantine. Guards against counting one that arrives during a trial as the trial's outcome,
    // which would double the quarantine each time.
    void a_repeated_report_is_no_outcome_of_a_trial() {
        fail_three_jobs();
        clock_.advance(std::chrono::minutes(1));
        CPPUNIT_ASSERT(admit(bad));
        fail_three_jobs();
        policy_->record_success(bad, task(4), clock_.now());
        CPPUNIT_ASSERT(!quarantined(bad));
    }

    // The trial task is cancelled by its customer, so its outcome is never reported. Guards against
    // a repaired worker that stays in quarantine for ever.
    void a_trial_without_outcome_is_followed_by_another() {
        fail_three_jobs();
        clock_.advance(std::chrono::minutes(1));
        CPPUNIT_ASSERT(admit(bad));
        clock_.advance(std::chrono::minutes(1));
        CPPUNIT_ASSERT(admit(bad));
    }

    // A long task started before the worker became faulty succeeds during the quarantine. Guards
    // against ending the quarantine for it: three more jobs would fail before the next one.
    void an_old_task_that_finishes_does_not_end_the_quarantine() {
        fail_three_jobs();
        policy_->record_success(bad, task_id("old/0"), clock_.now());
        CPPUNIT_ASSERT(quarantined(bad));
    }

    void a_forgotten_task_has_no_failures() {
        fail(bad, 1);
        policy_->erase_task(task(1));
        CPPUNIT_ASSERT_EQUAL(0, policy_->counted_failures(task(1)));
        CPPUNIT_ASSERT(!policy_->failed_on(task(1), bad));
    }

    // Guards against a task that is retried on one worker for ever because repeated failures there
    // count as one and never use up its attempts.
    void each_attempt_on_one_worker_counts_once() {
        for (const std::uint64_t attempt : {1U, 2U, 2U, 1U, 3U})
            policy_->record_failure(bad, task(1), attempt_number(attempt), job(1), clock_.now());
        CPPUNIT_ASSERT_EQUAL(3, policy_->counted_failures(task(1)));
        CPPUNIT_ASSERT_EQUAL(3, policy_->failures_on(task(1), bad));
        CPPUNIT_ASSERT(!quarantined(bad));
        fail(bad, 2);
        fail(bad, 3);
        CPPUNIT_ASSERT(quarantined(bad));
        CPPUNIT_ASSERT_EQUAL(0, policy_->counted_failures(task(1)));
    }

    // Guards against endless retries of a job with up to 100 attempts that fails on every worker:
    // the policy keeps fewer workers for each task, and failures on dropped ones must still count.
    void failures_on_many_workers_all_count() {
        for (int at = 0; at < 100; ++at)
            fail(worker(at), 7);
        CPPUNIT_ASSERT_EQUAL(100, policy_->counted_failures(task(7)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(failure_policy_test);

} // namespace
} // namespace figwinch
