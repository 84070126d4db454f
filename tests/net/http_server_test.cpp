#include "tests/net/raw_client.h"

#include "figwinch/base.h"
#include "figwinch/net.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <string>
#include <vector>

namespace figwinch {
namespace {

using responder_ptr = std::shared_ptr<http_responder>;

bool contains(const std::string& text, const std::string& part) {
    return text.find(part) != std::string::npos;
}

class http_server_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(http_server_test);
    CPPUNIT_TEST(a_request_reaches_the_handler_whole);
    CPPUNIT_TEST(a_request_cut_in_mid_body_never_reaches_the_handler);
    CPPUNIT_TEST(an_oversize_header_is_refused_with_431);
    CPPUNIT_TEST(an_oversize_body_is_refused_with_413);
    CPPUNIT_TEST(a_body_beyond_every_bound_is_refused_with_413);
    CPPUNIT_TEST(a_dropped_responder_answers_internal_error);
    CPPUNIT_TEST(a_stopping_server_finishes_what_it_has_and_closes);
    CPPUNIT_TEST(an_answer_after_the_server_is_gone_is_dropped);
    CPPUNIT_TEST(a_connection_beyond_the_bound_is_refused);
    CPPUNIT_TEST(a_taken_port_is_an_error);
    CPPUNIT_TEST_SUITE_END();

    event_loop loop_;
    std::vector<http_request> requests_;
    std::vector<responder_ptr> held_;
    bool hold_ = false;
    std::unique_ptr<http_server> server_;

    void start(const http_server_limits& limits) {
        auto listening = http_server::listen(loop_, "127.0.0.1", 0, limits,
                                             [this](http_request request, responder_ptr responder) {
                                                 requests_.push_back(std::move(request));
                                                 if (hold_) {
                                                     held_.push_back(std::move(responder));
                                                     return;
                                                 }
                                                 http_response response;
                                                 response.body = "echo:" + requests_.back().body;
                                                 responder->respond(std::move(response));
                                             });
        CPPUNIT_ASSERT(listening.ok());
        server_ = std::move(*listening);
    }

    std::string exchange(const std::string& text) {
        raw_client client(loop_, server_->port());
        client.send(text);
        return client.read_until_closed();
    }

    void a_request_reaches_the_handler_whole() {
        start({});
        const std::string answer = exchange("POST /v1/x?a=b HTTP/1.1\r\nHost: h\r\nX-Name: v\r\n"
                                            "Connection: close\r\nContent-Length: 5\r\n\r\nhello");
        CPPUNIT_ASSERT(contains(answer, "HTTP/1.1 200"));
        CPPUNIT_ASSERT(contains(answer, "echo:hello"));
        CPPUNIT_ASSERT(requests_[0].method == http_method::post);
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/x"), requests_[0].path);
        CPPUNIT_ASSERT_EQUAL(std::string("a=b"), requests_[0].query);
        CPPUNIT_ASSERT(requests_[0].headers.find("x-name") == "v");
    }

    // A caller dies in the middle of sending a ticket. Half a body must not be executed as if it
    // were the whole ticket; evhttp must report the cut and not what it has so far.
    void a_request_cut_in_mid_body_never_reaches_the_handler() {
        start({});
        raw_client client(loop_, server_->port());
        client.send("POST /v1/x HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\nhalf");
        client.close_sending();
        client.read_until_closed();
        CPPUNIT_ASSERT(requests_.empty());
    }

    void an_oversize_header_is_refused_with_431() {
        http_server_limits limits;
        limits.max_header_bytes = 1000;
        start(limits);
        const std::string answer = exchange(
            "GET /v1/x HTTP/1.1\r\nHost: h\r\nX-Long: " + std::string(1200, 'x') + "\r\n\r\n");
        CPPUNIT_ASSERT(contains(answer, "HTTP/1.1 431"));
        CPPUNIT_ASSERT(contains(answer, R"("code": 101, "name": "header_too_large", "ran": "no")"));
        CPPUNIT_ASSERT(requests_.empty());
    }

    void an_oversize_body_is_refused_with_413() {
        http_server_limits limits;
        limits.max_body_bytes = 1000;
        start(limits);
        const std::string answer =
            exchange("POST /v1/x HTTP/1.1\r\nHost: h\r\nContent-Length: 1200\r\n\r\n" +
                     std::string(1200, 'x'));
        CPPUNIT_ASSERT(contains(answer, "HTTP/1.1 413"));
        CPPUNIT_ASSERT(contains(answer, R"("name": "body_too_large")"));
        CPPUNIT_ASSERT(requests_.empty());
    }

    void a_body_beyond_every_bound_is_refused_with_413() {
        http_server_limits limits;
        limits.max_body_bytes = 1000;
        start(limits);
        const std::string answer =
            exchange("POST /v1/x HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n" +
                     std::string(50000, 'x'));
        CPPUNIT_ASSERT(contains(answer, "HTTP/1.1 413"));
        CPPUNIT_ASSERT(requests_.empty());
    }

    void a_dropped_responder_answers_internal_error() {
        hold_ = true;
        start({});
        raw_client client(loop_, server_->port());
        client.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        run_until(loop_, [this] { return !held_.empty(); });
        held_.clear();
        CPPUNIT_ASSERT(contains(client.read_until_closed(), "HTTP/1.1 500"));
    }

    // A daemon gets SIGTERM while a caller waits for an answer on a kept-alive connection. The
    // caller must get its whole answer, be told that the connection ends, and nobody may connect.
    void a_stopping_server_finishes_what_it_has_and_closes() {
        hold_ = true;
        start({});
        raw_client client(loop_, server_->port());
        client.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        run_until(loop_, [this] { return !held_.empty(); });
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, server_->in_flight());
        const std::uint16_t port = server_->port();
        server_->stop_accepting();
        held_[0]->respond({200, {}, "whole"});
        const std::string answer = client.read_until_closed();
        CPPUNIT_ASSERT(contains(answer, "Connection: close"));
        CPPUNIT_ASSERT(contains(answer, "whole"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, server_->in_flight());
        raw_client late(loop_, port);
        CPPUNIT_ASSERT(!late.is_connected());
    }

    void an_answer_after_the_server_is_gone_is_dropped() {
        hold_ = true;
        start({});
        raw_client client(loop_, server_->port());
        client.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        run_until(loop_, [this] { return !held_.empty(); });
        server_.reset();
        CPPUNIT_ASSERT(!held_[0]->is_open());
        held_[0]->respond({200, {}, "late"});
    }

    void a_connection_beyond_the_bound_is_refused() {
        hold_ = true;
        http_server_limits limits;
        limits.max_connections = 1;
        start(limits);
        raw_client first(loop_, server_->port());
        first.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
        run_until(loop_, [this] { return !held_.empty(); });
        CPPUNIT_ASSERT(contains(exchange("GET / HTTP/1.1\r\nHost: h\r\n\r\n"), "queue_full"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, requests_.size());
    }

    void a_taken_port_is_an_error() {
        start({});
        const auto second = http_server::listen(loop_, "127.0.0.1", server_->port(), {}, nullptr);
        CPPUNIT_ASSERT(code_of(second.status()) == result_code::setting_invalid);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_server_test);

} // namespace
} // namespace figwinch
