#include "tests/cell_host/called_host.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>

namespace figwinch {
namespace {

using std::chrono::milliseconds;

constexpr int status_unavailable = 503;
constexpr int status_in_doubt = 504;
constexpr duration caller_timeout = milliseconds(800);

/// Tests a complete `cell_host` on a fake platform through its HTTP API.
class cell_host_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(cell_host_test);
    CPPUNIT_TEST(a_question_is_answered_in_time_while_a_load_is_on_its_way);
    CPPUNIT_TEST(a_cancellation_is_answered_in_time_while_a_load_is_on_its_way);
    CPPUNIT_TEST(a_submission_is_answered_in_time_while_its_append_is_on_its_way);
    CPPUNIT_TEST(a_submission_that_a_slow_log_cant_take_in_time_is_refused_at_once);
    CPPUNIT_TEST_SUITE_END();

    called_host host_;

    /// The response, if one arrives before the caller's timeout.
    std::optional<http_response> ask(http_method method,
                                     const std::string& job = "0123456789abcdef") {
        std::optional<call_result> result;
        host_.client->call(called_host::request_about(job, method, caller_timeout), caller_timeout,
                           [&](call_result ended) {
                               result = std::move(ended);
                               host_.loop.stop();
                           });
        host_.loop.run();
        if (result->outcome != call_outcome::answered)
            return std::nullopt;
        return std::move(result->response);
    }
    static void assert_refused(const std::optional<http_response>& answer) {
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(status_unavailable, answer->status);
        CPPUNIT_ASSERT(answer->headers.find("Retry-After").has_value());
    }

public:
    void tearDown() override { host_.end(); }
    /// Guards against a status query that isn't answered before its caller's timeout because the
    /// host's snapshot load is still in progress.
    void a_question_is_answered_in_time_while_a_load_is_on_its_way() {
        host_.platform.held().held = {cell_stream::intake};
        host_.start();
        assert_refused(ask(http_method::get));
    }
    /// Guards against a cancellation that isn't answered before its caller's timeout because the
    /// host's snapshot load is still in progress.
    void a_cancellation_is_answered_in_time_while_a_load_is_on_its_way() {
        host_.platform.held().held = {cell_stream::intake};
        host_.start();
        assert_refused(ask(http_method::del));
    }
    /// Guards against a submission that isn't answered before its caller's timeout, and against a
    /// refusal, which promises that the job never runs, while its append may still be stored.
    void a_submission_is_answered_in_time_while_its_append_is_on_its_way() {
        host_.start();
        host_.platform.held().held = {cell_stream::intake};
        const auto answer = ask(http_method::post);
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(status_in_doubt, answer->status);
    }
    /// Guards against a submission that is appended although the log is too slow to store it before
    /// its caller's timeout: its outcome would be unknown, where a refusal is definite.
    void a_submission_that_a_slow_log_cant_take_in_time_is_refused_at_once() {
        host_.start();
        host_.platform.held().service = milliseconds(600);
        const auto first = ask(http_method::post);
        CPPUNIT_ASSERT(first.has_value());
        CPPUNIT_ASSERT_EQUAL(status_in_doubt, first->status);
        host_.run_for(milliseconds(200));
        assert_refused(ask(http_method::post, "fedcba9876543210"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, host_.platform.held().appended);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cell_host_test);

} // namespace
} // namespace figwinch
