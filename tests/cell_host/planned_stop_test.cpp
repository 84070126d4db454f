#include "tests/cell_host/called_host.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace figwinch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tests a complete `cell_host` that stops while the log is unresponsive, with HTTP callers whose
/// timeouts end long after the host's exit.
class planned_stop_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(planned_stop_test);
    CPPUNIT_TEST(a_question_that_came_before_the_stop_is_answered);
    CPPUNIT_TEST(a_question_that_comes_late_is_answered);
    CPPUNIT_TEST(a_submission_that_came_before_the_stop_is_answered);
    CPPUNIT_TEST(a_submission_that_comes_late_is_answered);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int status_unavailable = 503;
    static constexpr int status_in_doubt = 504;
    // Forces the host's exit 800 ms after the stop begins.
    static constexpr duration grace = milliseconds(1500);

    called_host host_;
    std::optional<call_result> result_;

    void start() {
        cell_host_settings settings;
        settings.grace = grace;
        host_.start(settings);
        host_.platform.held().held = {cell_stream::intake};
    }
    void ask(http_method method) {
        constexpr duration caller_timeout = seconds(30);
        host_.client->call(called_host::request_about("0123456789abcdef", method, caller_timeout),
                           caller_timeout, [this](call_result ended) {
                               result_ = std::move(ended);
                               host_.loop.stop();
                           });
    }
    /// The HTTP status that the caller gets before the host exits.
    std::optional<int> status() {
        host_.loop.run();
        if (!result_ || result_->outcome != call_outcome::answered)
            return std::nullopt;
        return result_->response.status;
    }
    std::optional<int> ask_and_stop(http_method method) {
        start();
        ask(method);
        host_.run_for(milliseconds(100));
        host_.host->stop();
        return status();
    }
    std::optional<int> stop_and_ask(http_method method) {
        start();
        host_.host->stop();
        host_.run_for(milliseconds(100));
        ask(method);
        return status();
    }

public:
    void tearDown() override { host_.end(); }
    /// Guards against a query that is cut off without a response when the host is forced to exit.
    void a_question_that_came_before_the_stop_is_answered() {
        CPPUNIT_ASSERT(ask_and_stop(http_method::get) == status_unavailable);
    }
    /// Guards against cutting off a query that was sent before the load balancer noticed the stop.
    void a_question_that_comes_late_is_answered() {
        CPPUNIT_ASSERT(stop_and_ask(http_method::get) == status_unavailable);
    }
    /// Guards against cutting off a submission, and against a refusal, which promises that the job
    /// never runs, while its append may still be stored.
    void a_submission_that_came_before_the_stop_is_answered() {
        CPPUNIT_ASSERT(ask_and_stop(http_method::post) == status_in_doubt);
    }
    /// Guards against cutting off a submission that was sent before the load balancer noticed the
    /// stop.
    void a_submission_that_comes_late_is_answered() {
        CPPUNIT_ASSERT(stop_and_ask(http_method::post) == status_in_doubt);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(planned_stop_test);

} // namespace
} // namespace figwinch
