#include "cell/job_estimate.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch {
namespace {

using std::chrono::seconds;

/// Tests overload, with more jobs than can be served: which jobs can still meet their time
/// objective, and in which order jobs are served.
class job_estimate_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(job_estimate_test);
    CPPUNIT_TEST(a_job_that_its_longest_chain_fits_is_in_time);
    CPPUNIT_TEST(a_job_that_its_chain_no_longer_fits_is_late);
    CPPUNIT_TEST(a_job_is_lost_after_three_times_its_objective);
    CPPUNIT_TEST(steps_that_have_ended_take_no_time);
    CPPUNIT_TEST(running_tasks_take_what_their_progress_leaves);
    CPPUNIT_TEST(the_order_is_priority_then_prospect_then_least_work);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint32_t tasks = 4;
    const instant begin_{seconds(1000)};

    /// A job of two consecutive steps, each with four tasks that take 2 s on one core. Its
    /// objective is to finish within 10 s.
    job_state make_job() const {
        auto spec = std::make_shared<job_spec>();
        step_spec step;
        step.tasks = tasks;
        step.size.cpu_millis = 1000;
        step.estimate = seconds(2);
        spec->steps = {step, step};
        spec->steps[1].depends_on = {0};
        job_state job;
        job.spec = spec;
        job.submitted_at = begin_;
        job.objective_at = begin_ + seconds(10);
        auto occurrence = std::make_unique<occurrence_state>();
        for (const step_spec& each : spec->steps) {
            step_state& made = occurrence->steps.emplace_back();
            made.spec = &each;
            made.unfinished = tasks;
            made.tasks.resize(tasks);
        }
        job.occurrences[0] = std::move(occurrence);
        return job;
    }
    static step_state& step_of(job_state& job, std::size_t number) {
        return job.occurrences[0]->steps[number];
    }
    job_prospect prospect_after(const job_state& job, duration waited) const {
        return estimate_job(job, begin_ + waited).prospect;
    }

public:
    void a_job_that_its_longest_chain_fits_is_in_time() {
        const job_state job = make_job();
        CPPUNIT_ASSERT(prospect_after(job, seconds(6)) == job_prospect::in_time);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(16, estimate_job(job, begin_).work_left, 1e-9);
    }
    void a_job_that_its_chain_no_longer_fits_is_late() {
        CPPUNIT_ASSERT(prospect_after(make_job(), seconds(7)) == job_prospect::late);
    }
    void a_job_is_lost_after_three_times_its_objective() {
        CPPUNIT_ASSERT(prospect_after(make_job(), seconds(26)) == job_prospect::late);
        CPPUNIT_ASSERT(prospect_after(make_job(), seconds(27)) == job_prospect::lost);
    }
    void steps_that_have_ended_take_no_time() {
        job_state job = make_job();
        step_of(job, 0).unfinished = 0;
        CPPUNIT_ASSERT(prospect_after(job, seconds(8)) == job_prospect::in_time);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(8, estimate_job(job, begin_).work_left, 1e-9);
    }
    void running_tasks_take_what_their_progress_leaves() {
        job_state job = make_job();
        step_of(job, 0).unfinished = 0;
        step_state& last = step_of(job, 1);
        last.assigned = last.unfinished;
        for (task_state& task : last.tasks)
            task.run.percent = 75;
        CPPUNIT_ASSERT(prospect_after(job, seconds(9)) == job_prospect::in_time);
    }
    void the_order_is_priority_then_prospect_then_least_work() {
        job_state urgent = make_job();
        job_state small = make_job();
        job_state large = make_job();
        job_state late = make_job();
        urgent.work_left = 100;
        small.priority = large.priority = late.priority = 2;
        small.work_left = 1;
        large.work_left = 5;
        late.prospect = job_prospect::late;
        CPPUNIT_ASSERT(is_served_before(urgent, small));
        CPPUNIT_ASSERT(is_served_before(small, large));
        CPPUNIT_ASSERT(is_served_before(large, late));
        CPPUNIT_ASSERT(!is_served_before(late, small));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_estimate_test);

} // namespace
} // namespace figwinch
