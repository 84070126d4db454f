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

constexpr int status_unavailable = 503;
constexpr int status_in_doubt = 504;
// Callers wait this long, here and in the header that says so.
constexpr duration patience = milliseconds(800);
constexpr const char* patience_ms = "800";

/// A whole host without sockets to its platform, called over HTTP.
class cell_host_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(cell_host_test);
    CPPUNIT_TEST(a_question_is_answered_in_time_while_a_load_is_on_its_way);
    CPPUNIT_TEST(a_cancellation_is_answered_in_time_while_a_load_is_on_its_way);
    CPPUNIT_TEST(a_submission_is_answered_in_time_while_its_append_is_on_its_way);
    CPPUNIT_TEST(a_submission_that_a_slow_log_cant_take_in_time_is_refused_at_once);
    CPPUNIT_TEST_SUITE_END();

    event_loop loop_;
    fake_platform platform_{loop_};
    std::unique_ptr<cell_host> host_;
    std::unique_ptr<http_client> client_;

    // Other tests on this machine listen on other addresses.
    static std::string own_address() {
        constexpr int bits = 8;
        constexpr int mask = 0xff;
        const int id = getpid();
        return "127." + std::to_string(100 + ((id >> (2 * bits)) & 0x3f)) + "." +
               std::to_string((id >> bits) & mask) + "." + std::to_string(id & mask);
    }

    void start() {
        constexpr std::uint16_t first_port = 7720;
        cell_host_settings with;
        with.node = "host-1";
        with.callers = {own_address(), first_port};
        with.ready = {own_address(), first_port + 1};
        with.bus = {own_address(), first_port + 2};
        with.metrics = {own_address(), first_port + 3};
        host_ = std::make_unique<cell_host>(loop_, platform_, with, incarnation_id("host-1#1"));
        CPPUNIT_ASSERT(host_->listen().ok());
        client_ = http_client::create(loop_, with.callers, 4);
        run_for(milliseconds(200));
    }
    void run_for(duration span) {
        const auto timer = loop_.after(span, [this] { loop_.stop(); });
        loop_.run();
    }
    /// The answer that comes within the caller's patience.
    std::optional<http_response> ask(http_method method,
                                     const std::string& job = "0123456789abcdef") {
        http_request request;
        request.method = method;
        request.path = "/jobs/" + job;
        request.headers.add("Host", "gate.example");
        request.headers.add("Patience-Ms", patience_ms);
        std::optional<call_result> result;
        client_->call(std::move(request), patience, [&](call_result ended) {
            result = std::move(ended);
            loop_.stop();
        });
        loop_.run();
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
    void tearDown() override {
        client_.reset();
        host_.reset();
    }
    /// Guards against a question that is held until its caller has given up.
    void a_question_is_answered_in_time_while_a_load_is_on_its_way() {
        platform_.held().held = {cell_stream::intake};
        start();
        assert_refused(ask(http_method::get));
    }
    /// Guards against a cancellation that is held until its caller has given up.
    void a_cancellation_is_answered_in_time_while_a_load_is_on_its_way() {
        platform_.held().held = {cell_stream::intake};
        start();
        assert_refused(ask(http_method::del));
    }
    /// Guards against a submission that is held until its caller has given up, and against telling
    /// it that the job never runs while its append may still be stored.
    void a_submission_is_answered_in_time_while_its_append_is_on_its_way() {
        start();
        platform_.held().held = {cell_stream::intake};
        const auto answer = ask(http_method::post);
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(status_in_doubt, answer->status);
    }
    /// Guards against a submission that is handed to a log which can't take it in its caller's
    /// time: it would end in doubt, where a refusal is certain.
    void a_submission_that_a_slow_log_cant_take_in_time_is_refused_at_once() {
        start();
        platform_.held().service = milliseconds(600);
        const auto first = ask(http_method::post);
        CPPUNIT_ASSERT(first.has_value());
        CPPUNIT_ASSERT_EQUAL(status_in_doubt, first->status);
        run_for(milliseconds(200));
        assert_refused(ask(http_method::post, "fedcba9876543210"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, platform_.held().appended);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cell_host_test);

} // namespace
} // namespace figwinch
