#include "cell_host/cell_host.h"
#include "tests/cell_host/fake_platform.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <optional>
#include <string>

namespace figwinch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A whole host that stops while the log is silent, called over HTTP by callers that would wait
/// until long after its end.
class planned_stop_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(planned_stop_test);
    CPPUNIT_TEST(a_question_that_came_before_the_stop_is_answered);
    CPPUNIT_TEST(a_question_that_comes_late_is_answered);
    CPPUNIT_TEST(a_submission_that_came_before_the_stop_is_answered);
    CPPUNIT_TEST(a_submission_that_comes_late_is_answered);
    CPPUNIT_TEST_SUITE_END();

    static constexpr int status_unavailable = 503;
    static constexpr int status_in_doubt = 504;
    // The host's end is bound to come 800 ms after the begin of its stop.
    static constexpr duration grace = milliseconds(1500);

    event_loop loop_;
    fake_platform platform_{loop_};
    std::unique_ptr<cell_host> host_;
    std::unique_ptr<http_client> client_;
    std::optional<call_result> result_;

    // Other tests on this machine listen on other addresses.
    static std::string own_address() {
        constexpr int bits = 8;
        constexpr int mask = 0xff;
        const int id = getpid();
        return "127." + std::to_string(100 + ((id >> (2 * bits)) & 0x3f)) + "." +
               std::to_string((id >> bits) & mask) + "." + std::to_string(id & mask);
    }
    void run_for(duration span) {
        const auto timer = loop_.after(span, [this] { loop_.stop(); });
        loop_.run();
    }
    void start() {
        constexpr std::uint16_t first_port = 7740;
        cell_host_settings with;
        with.node = "host-1";
        with.callers = {own_address(), first_port};
        with.ready = {own_address(), first_port + 1};
        with.bus = {own_address(), first_port + 2};
        with.metrics = {own_address(), first_port + 3};
        with.grace = grace;
        host_ = std::make_unique<cell_host>(loop_, platform_, with, incarnation_id("host-1#1"));
        CPPUNIT_ASSERT(host_->listen().ok());
        client_ = http_client::create(loop_, with.callers, 4);
        run_for(milliseconds(200));
        platform_.held().held = {cell_stream::intake};
    }
    void ask(http_method method) {
        http_request request;
        request.method = method;
        request.path = "/jobs/0123456789abcdef";
        request.headers.add("Host", "gate.example");
        request.headers.add("Patience-Ms", "30000");
        client_->call(std::move(request), seconds(30), [this](call_result ended) {
            result_ = std::move(ended);
            loop_.stop();
        });
    }
    /// The status that a caller gets before the host ends.
    std::optional<int> status() {
        loop_.run();
        if (!result_ || result_->outcome != call_outcome::answered)
            return std::nullopt;
        return result_->response.status;
    }
    std::optional<int> ask_and_stop(http_method method) {
        start();
        ask(method);
        run_for(milliseconds(100));
        host_->stop();
        return status();
    }
    std::optional<int> stop_and_ask(http_method method) {
        start();
        host_->stop();
        run_for(milliseconds(100));
        ask(method);
        return status();
    }

public:
    void tearDown() override {
        client_.reset();
        host_.reset();
    }
    /// Guards against a question that is cut when the host that holds it has to end.
    void a_question_that_came_before_the_stop_is_answered() {
        CPPUNIT_ASSERT(ask_and_stop(http_method::get) == status_unavailable);
    }
    /// Guards against the same of one that was on its way while the balancer learned of the stop.
    void a_question_that_comes_late_is_answered() {
        CPPUNIT_ASSERT(stop_and_ask(http_method::get) == status_unavailable);
    }
    /// Guards against the same of a submission, and against telling that the job never runs while
    /// its append may still be stored.
    void a_submission_that_came_before_the_stop_is_answered() {
        CPPUNIT_ASSERT(ask_and_stop(http_method::post) == status_in_doubt);
    }
    void a_submission_that_comes_late_is_answered() {
        CPPUNIT_ASSERT(stop_and_ask(http_method::post) == status_in_doubt);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(planned_stop_test);

} // namespace
} // namespace figwinch
