#include "tools/load/report.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <sstream>
#include <string>
#include <vector>

namespace figwinch::load {
namespace {

class report_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(report_test);
    CPPUNIT_TEST(quantiles_are_of_answered_requests);
    CPPUNIT_TEST(every_fate_is_counted);
    CPPUNIT_TEST(an_accepted_job_without_an_end_is_lost);
    CPPUNIT_TEST(missed_outcomes_are_named);
    CPPUNIT_TEST(csv_and_svg_hold_every_request);
    CPPUNIT_TEST_SUITE_END();

    static request_outcome request(request_fate fate, int latency_ms) {
        request_outcome outcome;
        outcome.id = "r";
        outcome.fate = fate;
        outcome.latency = std::chrono::milliseconds(latency_ms);
        return outcome;
    }

    static std::vector<request_outcome> answered(int count) {
        std::vector<request_outcome> all;
        for (int i = 1; i <= count; ++i)
            all.push_back(request(request_fate::answered, i));
        return all;
    }

    void quantiles_are_of_answered_requests() {
        std::vector<request_outcome> all = answered(1000);
        all.push_back(request(request_fate::unknown, 100'000));
        const pb::LoadSummary summary = summarise(all, {});
        CPPUNIT_ASSERT(std::abs(summary.p50_ms() - 500) <= 2);
        CPPUNIT_ASSERT(std::abs(summary.p99_ms() - 990) <= 2);
    }

    void every_fate_is_counted() {
        request_outcome refused = request(request_fate::refused, 1);
        refused.code = 201;
        refused.code_name = "queue_full";
        refused.ran = "no";
        const pb::LoadSummary summary =
            summarise({request(request_fate::answered, 1), refused, refused,
                       request(request_fate::unknown, 1), request(request_fate::not_sent, 1),
                       request(request_fate::wrong_answer, 1)},
                      {});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{6}, summary.requests());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, summary.answered());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, summary.unknown());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, summary.not_sent());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, summary.wrong_answers());
        CPPUNIT_ASSERT_EQUAL(std::string("request 201 queue_full ran=no"),
                             summary.refusals(0).what());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{2}, summary.refusals(0).count());
    }

    void an_accepted_job_without_an_end_is_lost() {
        job_outcome job;
        job.accepted = duration(1);
        job.state = "running";
        job_outcome finished = job;
        finished.state = "finished";
        finished.tasks_finished = 2;
        finished.work_ms = 300;
        job_outcome refused;
        refused.state = "refused";
        const pb::LoadSummary summary = summarise({}, {job, finished, refused});
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, summary.jobs_lost());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, summary.jobs_finished());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1}, summary.jobs_refused());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{600}, summary.work_finished_ms());
    }

    void missed_outcomes_are_named() {
        pb::TraceExpectation expected;
        expected.set_requests(10);
        expected.set_answered_share_at_least(1);
        expected.set_p99_ms_at_most(-1);
        const pb::LoadSummary good = summarise(answered(10), {});
        CPPUNIT_ASSERT(compare(good, expected).empty());
        std::vector<request_outcome> bad = answered(8);
        bad.push_back(request(request_fate::wrong_answer, 1));
        bad.push_back(request(request_fate::unknown, 1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, compare(summarise(bad, {}), expected).size());
    }

    void csv_and_svg_hold_every_request() {
        std::ostringstream csv;
        write_csv(csv, answered(3), {job_outcome{}});
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{5}, std::ranges::count(csv.str(), '\n'));
        std::ostringstream svg;
        write_svg(svg, answered(3));
        CPPUNIT_ASSERT(svg.str().starts_with("<svg") && svg.str().ends_with("</svg>\n"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(report_test);

} // namespace
} // namespace figwinch::load
