#include "figwinch/jobs.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace figwinch {
namespace {

class job_fold_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(job_fold_test);
    CPPUNIT_TEST(a_record_that_is_appended_twice_counts_once);
    CPPUNIT_TEST(a_writer_that_was_taken_over_is_ignored);
    CPPUNIT_TEST(the_first_take_over_wins);
    CPPUNIT_TEST(a_snapshot_restores_a_job_whose_records_expired);
    CPPUNIT_TEST(only_the_owner_speaks_for_a_job);
    CPPUNIT_TEST_SUITE_END();

    job_fold fold_;
    std::uint64_t offset_ = 0;

    void apply(const std::string& writer, int number, const pb::JobEvent& event) {
        pb::JobBatch batch;
        batch.set_record_id(writer + ':' + std::to_string(number));
        batch.set_writer(writer);
        batch.set_data_centre("dc");
        *batch.add_events() = event;
        fold_.apply(log_offset(++offset_), batch.SerializeAsString());
    }

    static pb::JobEvent accepted(const std::string& id) {
        pb::JobEvent event;
        pb::JobSpec& spec = *event.mutable_accepted()->mutable_spec();
        spec.set_id(id);
        spec.set_customer("studio");
        spec.set_tasks(2);
        return event;
    }

    static pb::JobEvent moved(const std::string& id, const std::string& to) {
        pb::JobEvent event;
        event.mutable_moved()->set_job(id);
        event.mutable_moved()->set_customer("studio");
        event.mutable_moved()->set_to(to);
        return event;
    }

    static pb::JobEvent takeover(const std::string& from, const std::string& to) {
        pb::JobEvent event;
        event.mutable_takeover()->set_from(from);
        event.mutable_takeover()->set_to(to);
        return event;
    }

    static pb::JobEvent ended(int index, std::uint64_t attempt, bool final) {
        pb::JobEvent event;
        pb::TaskEnded& task = *event.mutable_ended();
        task.set_job("album");
        task.set_customer("studio");
        task.set_task_index(index);
        task.set_attempt(attempt);
        task.set_end(final ? pb::TASK_END_FINISHED : pb::TASK_END_STOPPED);
        task.set_checkpoint("half");
        task.set_final(final);
        return event;
    }

    const job_record& album() const { return *fold_.find(job_key("studio/album")); }

    // Guards against applying a duplicate record. A job moves from scheduler A to B and back. The
    // acknowledgement of A's append was lost, so A appended the record again; the duplicate comes
    // last in the log and would move the job to B a second time.
    void a_record_that_is_appended_twice_counts_once() {
        apply("a#1", 1, accepted("album"));
        apply("a#1", 2, moved("album", "b#1"));
        apply("b#1", 1, moved("album", "a#1"));
        apply("a#1", 2, moved("album", "b#1"));
        CPPUNIT_ASSERT_EQUAL(std::string("a#1"), album().owner.str());
    }

    // Guards against records of a stale owner. A scheduler is suspended, its jobs are taken over,
    // and it resumes and continues writing. Its successor has not seen what it writes now.
    void a_writer_that_was_taken_over_is_ignored() {
        apply("a#1", 1, accepted("album"));
        apply("b#1", 1, takeover("a#1", "b#1"));
        apply("a#1", 2, ended(0, 1, true));
        apply("a#1", 3, accepted("late"));
        CPPUNIT_ASSERT_EQUAL(std::string("b#1"), album().owner.str());
        CPPUNIT_ASSERT_EQUAL(0, album().final_tasks);
        CPPUNIT_ASSERT(!fold_.find(job_key("studio/late")));
    }

    void the_first_take_over_wins() {
        apply("a#1", 1, accepted("album"));
        apply("b#1", 1, takeover("a#1", "b#1"));
        apply("c#1", 1, takeover("a#1", "c#1"));
        CPPUNIT_ASSERT_EQUAL(std::string("b#1"), album().owner.str());
        apply("c#1", 2, takeover("b#1", "c#1"));
        CPPUNIT_ASSERT_EQUAL(std::string("c#1"), album().owner.str());
    }

    // Guards against losing a job when its first records expire from the log. All schedulers fail
    // afterwards, and a process that starts then can read only the snapshot.
    void a_snapshot_restores_a_job_whose_records_expired() {
        apply("a#1", 1, accepted("album"));
        apply("a#1", 2, ended(0, 1, true));
        apply("a#1", 3, ended(1, 4, false));
        pb::JobEvent event;
        *event.mutable_snapshot() = make_snapshot(album());
        fold_ = job_fold();
        apply("a#1", 4, event);
        CPPUNIT_ASSERT_EQUAL(std::string("a#1"), album().owner.str());
        CPPUNIT_ASSERT_EQUAL(1, album().final_tasks);
        CPPUNIT_ASSERT_EQUAL(std::string("half"), album().tasks.at(1).checkpoint);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, album().tasks.at(1).attempt.value());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, fold_.open_jobs_of(customer_id("studio")));
    }

    void only_the_owner_speaks_for_a_job() {
        apply("a#1", 1, accepted("album"));
        apply("b#1", 1, ended(0, 1, true));
        apply("b#1", 2, moved("album", "b#1"));
        apply("b#1", 3, accepted("album"));
        CPPUNIT_ASSERT_EQUAL(std::string("a#1"), album().owner.str());
        CPPUNIT_ASSERT_EQUAL(0, album().final_tasks);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(job_fold_test);

} // namespace
} // namespace figwinch
