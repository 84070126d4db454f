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
constexpr duration patience = milliseconds(800);

/// A whole host without sockets to its platform, called over HTTP.
class cell_host_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(cell_host_test);
    CPPUNIT_TEST(a_question_is_answered_in_time_while_a_load_is_on_its_way);
    CPPUNIT_TEST(a_cancellation_is_answered_in_time_while_a_load_is_on_its_way);
    CPPUNIT_TEST(a_submission_is_answered_in_time_while_its_append_is_on_its_way);
    CPPUNIT_TEST(a_submission_that_a_slow_log_cant_take_in_time_is_refused_at_once);
    CPPUNIT_TEST_SUITE_END();

    called_host host_;

    /// The answer that comes within the caller's patience.
    std::optional<http_response> ask(http_method method,
                                     const std::string& job = "0123456789abcdef") {
        std::optional<call_result> result;
        host_.client->call(called_host::request_about(job, method, patience), patience,
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
    /// Guards against a question that is held until its caller has given up.
    void a_question_is_answered_in_time_while_a_load_is_on_its_way() {
        host_.platform.held().held = {cell_stream::intake};
        host_.start();
        assert_refused(ask(http_method::get));
    }
    /// Guards against a cancellation that is held until its caller has given up.
    void a_cancellation_is_answered_in_time_while_a_load_is_on_its_way() {
        host_.platform.held().held = {cell_stream::intake};
        host_.start();
        assert_refused(ask(http_method::del));
    }
    /// Guards against a submission that is held until its caller has given up, and against telling
    /// it that the job never runs while its append may still be stored.
    void a_submission_is_answered_in_time_while_its_append_is_on_its_way() {
        host_.start();
        host_.platform.held().held = {cell_stream::intake};
        const auto answer = ask(http_method::post);
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(status_in_doubt, answer->status);
    }
    /// Guards against a submission that is handed to a log which can't take it in its caller's
    /// time: it would end in doubt, where a refusal is certain.
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
