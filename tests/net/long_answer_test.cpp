#include "tests/net/raw_client.h"
#include "tests/net/raw_server.h"

#include "figwinch/net.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>

namespace figwinch {
namespace {

constexpr duration long_timeout = std::chrono::seconds(50);

/// Answers that are longer than what libevent takes off a socket at a time.
class long_answer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(long_answer_test);
    CPPUNIT_TEST(an_answer_that_has_come_is_read_in_few_turns);
    CPPUNIT_TEST(an_answer_of_many_turns_arrives_whole);
    CPPUNIT_TEST(a_long_answer_that_is_cut_is_no_answer);
    CPPUNIT_TEST_SUITE_END();

    event_loop loop_;
    std::unique_ptr<raw_server> server_;
    std::unique_ptr<http_client> client_;

    void serve(raw_server::answer decide) {
        server_ = std::make_unique<raw_server>(loop_, std::move(decide));
        client_ = http_client::create(loop_, {"127.0.0.1", server_->port()}, 2);
    }
    void serve_text(const std::string& text) {
        serve([=](const std::string&) { return raw_server::reaction{text}; });
    }
    static std::string head_of(std::size_t body_bytes) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body_bytes) + "\r\n\r\n";
    }
    static http_request question() {
        http_request request;
        request.method = http_method::get;
        request.path = "/long";
        return request;
    }
    call_result call() {
        std::optional<call_result> result;
        client_->call(question(), long_timeout, [&](call_result ended) {
            result = std::move(ended);
            loop_.stop();
        });
        loop_.run();
        return *result;
    }

public:
    /// Guards against long answers that come at the pace of the loop: beside other work each turn
    /// took tens of milliseconds and a few kilobytes.
    void an_answer_that_has_come_is_read_in_few_turns() {
        const std::string body(std::size_t{120} * 1024, 'x');
        serve_text(head_of(body.size()) + body);
        int turns = 0;
        const auto counting = loop_.every(duration(1), [&] {
            if (server_->requests() > 0)
                ++turns;
        });
        const call_result result = call();
        CPPUNIT_ASSERT_EQUAL(body.size(), result.response.body.size());
        CPPUNIT_ASSERT_LESS(10, turns);
    }

    /// Guards against bytes that are lost or doubled where a turn ends in mid-answer.
    void an_answer_of_many_turns_arrives_whole() {
        constexpr std::size_t parts = 20;
        constexpr std::size_t part_bytes = 100'000;
        std::string body;
        for (std::size_t index = 0; index < parts * part_bytes; ++index)
            body += static_cast<char>('a' + index * index % 23);
        serve_text(head_of(body.size()));
        std::size_t sent = 0;
        const auto sending = loop_.every(std::chrono::milliseconds(1), [&] {
            if (server_->requests() > 0 && sent < parts)
                server_->send_to_all(body.substr(sent++ * part_bytes, part_bytes));
        });
        const call_result result = call();
        CPPUNIT_ASSERT(result.outcome == call_outcome::answered);
        CPPUNIT_ASSERT(result.response.body == body);
    }

    /// Guards against an end of the connection that is passed over behind the bytes before it.
    void a_long_answer_that_is_cut_is_no_answer() {
        const std::string body(std::size_t{50} * 1024, 'x');
        for (const bool reset : {false, true}) {
            serve([&](const std::string&) {
                return raw_server::reaction{head_of(body.size() + 1) + body, true, reset};
            });
            const call_result result = call();
            CPPUNIT_ASSERT(result.outcome == call_outcome::unknown);
            CPPUNIT_ASSERT(result.reason != "timeout");
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(long_answer_test);

} // namespace
} // namespace figwinch
