#include "cell_host/intake_writer.h"

#include "tests/cell_host/sim_intake.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace figwinch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr duration caller_timeout = milliseconds(2700);

/// Tests `intake_writer` on a log that is slow, unresponsive or loses replies.
class intake_writer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(intake_writer_test);
    CPPUNIT_TEST(an_append_that_waits_in_the_log_is_not_sent_again);
    CPPUNIT_TEST(a_lost_answer_is_found_in_the_stream);
    CPPUNIT_TEST(a_silent_log_is_told_before_the_deadline);
    CPPUNIT_TEST(a_slow_log_is_fast_again_within_a_second);
    CPPUNIT_TEST(a_record_that_cant_be_stored_in_time_is_refused_before_the_deadline);
    CPPUNIT_TEST(a_full_log_is_tried_again_while_there_is_time);
    CPPUNIT_TEST(a_record_over_the_limit_is_rejected_at_once);
    CPPUNIT_TEST(a_record_that_the_log_rejects_fails_alone);
    CPPUNIT_TEST(a_log_that_rejects_everything_is_worth_another_try);
    CPPUNIT_TEST_SUITE_END();

    sim::sim_time time_;
    sim::sim_store store_;

    std::size_t stored_records() { return store_.of(cell_stream::intake).records.size(); }
    static void assert_told(intake_outcome expected, const sim::submission_result& answer) {
        CPPUNIT_ASSERT(answer.outcome.has_value());
        CPPUNIT_ASSERT(*answer.outcome == expected);
    }

public:
    /// Guards against a retry that doubles the load of a slow log: the connection of the first
    /// append times out, but the append itself still waits in the log's queue.
    void an_append_that_waits_in_the_log_is_not_sent_again() {
        sim::intake_host host(time_, store_);
        time_.run_for(milliseconds(100));
        store_.service[cell_stream::intake] = milliseconds(800);
        host.log.patience = milliseconds(500);
        const auto answer = host.submit("a", caller_timeout);
        time_.run_for(seconds(4));
        assert_told(intake_outcome::stored, *answer);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stored_records());
    }
    /// Guards against a job that is appended twice, or reported with an unknown outcome, because
    /// the reply to its append was lost.
    void a_lost_answer_is_found_in_the_stream() {
        sim::intake_host host(time_, store_, 0);
        time_.run_for(milliseconds(100));
        host.log.lost_answers = 1;
        const instant begun = time_.now();
        const auto answer = host.submit("a", caller_timeout);
        time_.run_for(seconds(4));
        assert_told(intake_outcome::stored, *answer);
        CPPUNIT_ASSERT(answer->at - begun < milliseconds(600));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stored_records());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, host.writer.counts().settled_by_read);
    }
    /// Guards against callers that wait until their deadlines while the log answers no call.
    void a_silent_log_is_told_before_the_deadline() {
        sim::intake_host host(time_, store_);
        time_.run_for(milliseconds(100));
        host.log.state = sim::sim_log::way::silent;
        const instant begun = time_.now();
        const auto sent = host.submit("a", caller_timeout);
        const auto behind = host.submit("b", caller_timeout);
        time_.run_for(seconds(4));
        assert_told(intake_outcome::unknown, *sent);
        CPPUNIT_ASSERT(sent->at - begun < milliseconds(1100));
        CPPUNIT_ASSERT(behind->outcome.has_value());
        CPPUNIT_ASSERT(behind->at - begun < milliseconds(2000));
    }
    /// Guards against a host that still treats the log as slow after it has become fast again.
    void a_slow_log_is_fast_again_within_a_second() {
        sim::intake_host host(time_, store_);
        const auto one_each_100_ms = [&](int count) {
            for (int i = 0; i < count; ++i) {
                host.submit(std::to_string(time_.now().time_since_epoch().count()), caller_timeout);
                time_.run_for(milliseconds(100));
            }
        };
        one_each_100_ms(10);
        CPPUNIT_ASSERT(!host.writer.append_latency().is_slow());
        store_.service[cell_stream::intake] = milliseconds(500);
        one_each_100_ms(20);
        CPPUNIT_ASSERT(host.writer.append_latency().is_slow());
        store_.service[cell_stream::intake] = milliseconds(2);
        one_each_100_ms(10);
        CPPUNIT_ASSERT(!host.writer.append_latency().is_slow());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, host.writer.append_latency().times_slow());
    }
    /// Guards against callers that wait until their deadlines although the append before theirs
    /// takes longer than that.
    void a_record_that_cant_be_stored_in_time_is_refused_before_the_deadline() {
        sim::intake_host host(time_, store_);
        store_.service[cell_stream::intake] = milliseconds(1500);
        host.submit("a", caller_timeout);
        time_.run_for(milliseconds(1600));
        host.submit("b", caller_timeout);
        time_.run_for(milliseconds(100));
        CPPUNIT_ASSERT(host.writer.expected_wait() > milliseconds(2800));
        const instant begun = time_.now();
        const auto late = host.submit("c", milliseconds(2000));
        time_.run_for(seconds(4));
        assert_told(intake_outcome::not_stored, *late);
        CPPUNIT_ASSERT(late->at - begun < milliseconds(100));
    }
    /// Guards against a caller that is refused because the log's queue is full for a moment.
    void a_full_log_is_tried_again_while_there_is_time() {
        sim::intake_host host(time_, store_);
        time_.run_for(milliseconds(100));
        store_.service[cell_stream::intake] = milliseconds(2200);
        CPPUNIT_ASSERT(store_.admit(cell_stream::intake, time_.now()).has_value());
        store_.service[cell_stream::intake] = milliseconds(2);
        const auto answer = host.submit("a", caller_timeout);
        time_.run_for(seconds(4));
        assert_told(intake_outcome::stored, *answer);
    }
    /// Guards against a caller who is told for ever to come back, with a job that no host can
    /// store.
    void a_record_over_the_limit_is_rejected_at_once() {
        sim::intake_host host(time_, store_);
        const std::size_t key_bytes = 1 + std::string("ja").size();
        const std::size_t most = cell_settings{}.max_record_bytes - key_bytes;
        const auto fitting = host.submit("a", caller_timeout, std::string(most, 'v'));
        const auto larger = host.submit("b", caller_timeout, std::string(most + 1, 'v'));
        assert_told(intake_outcome::rejected, *larger);
        time_.run_for(seconds(1));
        assert_told(intake_outcome::stored, *fitting);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, store_.rejected);
    }
    /// Guards against jobs that are refused because a job in the same append is one that the log
    /// doesn't take, and against a log that counts as slow or full for it.
    void a_record_that_the_log_rejects_fails_alone() {
        constexpr int jobs = 100;
        constexpr int large = 30;
        sim::intake_host host(time_, store_);
        store_.max_record_bytes = 1000;
        time_.run_for(milliseconds(100));
        std::vector<std::shared_ptr<sim::submission_result>> answers;
        answers.reserve(jobs);
        for (int index = 0; index < jobs; ++index)
            answers.push_back(host.submit(std::to_string(index), caller_timeout,
                                          std::string(index == large ? 1000 : 10, 'v')));
        const instant begun = time_.now();
        time_.run_for(seconds(1));
        for (int index = 0; index < jobs; ++index) {
            const sim::submission_result& answer = *answers[static_cast<std::size_t>(index)];
            assert_told(index == large ? intake_outcome::rejected : intake_outcome::stored, answer);
            CPPUNIT_ASSERT(answer.at - begun < milliseconds(200));
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{jobs - 1}, stored_records());
        CPPUNIT_ASSERT(store_.rejected <= 8);
        CPPUNIT_ASSERT(!host.writer.append_latency().is_slow());
    }
    /// Guards against callers who are told never to come back because the log, or something before
    /// it, answers every append as it answers one over its limits.
    void a_log_that_rejects_everything_is_worth_another_try() {
        sim::intake_host host(time_, store_);
        store_.max_record_bytes = 0;
        const auto answer = host.submit("a", caller_timeout);
        time_.run_for(seconds(1));
        assert_told(intake_outcome::not_stored, *answer);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(intake_writer_test);

} // namespace
} // namespace figwinch
