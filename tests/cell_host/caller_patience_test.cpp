#include "cell_host/job_api.h"

#include "cell_host/local_job_lookup.h"
#include "tests/cell_host/fake_platform.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch {
namespace {

using std::chrono::milliseconds;

class recorded_response final : public http_responder {
public:
    std::optional<http_response> sent;
    void respond(http_response response) override { sent = std::move(response); }
    bool is_open() const override { return !sent; }
};

/// Tests when callers' requests are answered relative to the callers' timeouts, with a manual
/// clock.
class caller_patience_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(caller_patience_test);
    CPPUNIT_TEST(a_question_ends_before_its_caller_gives_up);
    CPPUNIT_TEST(a_submission_ends_before_its_caller_gives_up);
    CPPUNIT_TEST(a_patient_callers_question_waits);
    CPPUNIT_TEST(a_job_that_the_log_does_not_take_is_refused_for_good);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t max_record_bytes = 1000;

    manual_clock time_;
    event_loop loop_;
    fake_platform platform_{loop_};
    cell_state state_;
    std::optional<cell_config> config_ = platform_.decode_config("");
    intake_writer writer_{{time_, platform_.log(), record_limits(max_record_bytes),
                           [](const stored_record&) {}, [] { return true; },
                           [](const auto&, const auto&) {}}};
    // Its reads never complete, because `ask` holds them.
    keyed_follower intake_{
        time_, platform_.log(), cell_stream::intake, {}, [](const stored_record&) {}};
    local_job_lookup jobs_{time_, state_, intake_};
    job_api front_{{time_, platform_.job_codec(), config_, state_, jobs_, writer_,
                    [] { return true; }, [](duration) {}}};

    /// The response that a caller with the timeout `caller_timeout` has got by `after` its request.
    std::optional<http_response> ask(http_method method, milliseconds caller_timeout,
                                     milliseconds after, const std::string& body = "") {
        platform_.held().held = {cell_stream::intake};
        http_request request;
        request.method = method;
        request.path = "/jobs/0123456789abcdef";
        request.body = body;
        request.headers.add("Host", "gate.example");
        request.headers.add("Patience-Ms", std::to_string(caller_timeout.count()));
        const auto answer = std::make_shared<recorded_response>();
        front_.handle(request, answer);
        time_.advance(after);
        writer_.tick();
        jobs_.tick();
        return answer->sent;
    }

public:
    /// Guards against queries with short timeouts that are answered only after the timeout.
    void a_question_ends_before_its_caller_gives_up() {
        for (const int caller_timeout : {0, 1, 100, 200, 299, 300, 400, 3000}) {
            const auto answer =
                ask(http_method::get, milliseconds(caller_timeout), milliseconds(caller_timeout));
            CPPUNIT_ASSERT(answer.has_value());
            CPPUNIT_ASSERT_EQUAL(503, answer->status);
        }
    }
    /// Guards against submissions that are answered only after the caller's timeout. The outcome is
    /// unknown then, because the append is still in flight.
    void a_submission_ends_before_its_caller_gives_up() {
        const auto answer = ask(http_method::post, milliseconds(200), milliseconds(199));
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(504, answer->status);
    }
    /// Guards against queries that are refused long before the caller's timeout.
    void a_patient_callers_question_waits() {
        CPPUNIT_ASSERT(!ask(http_method::get, milliseconds(3000), milliseconds(2699)).has_value());
    }
    /// Guards against a caller who is told to come back with a job that no host can ever store.
    void a_job_that_the_log_does_not_take_is_refused_for_good() {
        const auto answer = ask(http_method::post, milliseconds(3000), milliseconds(0),
                                std::string(max_record_bytes, 'p'));
        CPPUNIT_ASSERT(answer.has_value());
        CPPUNIT_ASSERT_EQUAL(413, answer->status);
        CPPUNIT_ASSERT(!answer->headers.find("Retry-After").has_value());
        CPPUNIT_ASSERT(answer->body.find("1000 bytes") != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_patience_test);

} // namespace
} // namespace figwinch
