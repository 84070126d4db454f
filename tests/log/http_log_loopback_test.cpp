#include "figwinch/log.h"
#include "log/http_log_client.h"
#include "standin_platform/standin_platform.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>

namespace figwinch {
namespace {

using namespace std::chrono_literals;

/// The client and the stand-in on one loop, over loopback.
class http_log_loopback_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(http_log_loopback_test);
    CPPUNIT_TEST(records_come_back);
    CPPUNIT_TEST(each_fault_arrives_as_its_error);
    CPPUNIT_TEST_SUITE_END();

    system_clock time_;
    event_loop loop_;
    standin_platform platform_{loop_, time_};
    std::unique_ptr<http_server> server_ =
        http_server::listen(
            loop_, "127.0.0.1", 0, {},
            [this](const http_request& request, const std::shared_ptr<http_responder>& responder) {
                platform_.handle(request, responder);
            })
            .value();
    std::unique_ptr<http_client> http_ =
        http_client::create(loop_, {"127.0.0.1", server_->port()}, 4);
    http_log_client log_{*http_, node_id("entry-1"), 200ms};
    const stream_name stream_{"config"};

    absl::StatusOr<log_offset> append(const std::string& payload) {
        std::optional<absl::StatusOr<log_offset>> result;
        log_.append(stream_, payload, [&](const absl::StatusOr<log_offset>& offset) {
            result = offset;
            loop_.stop();
        });
        loop_.run();
        return *result;
    }
    absl::StatusOr<log_page> read(int from) {
        std::optional<absl::StatusOr<log_page>> result;
        log_.read(stream_, log_offset(static_cast<std::uint64_t>(from)), 10,
                  [&](const absl::StatusOr<log_page>& page) {
                      result = page;
                      loop_.stop();
                  });
        loop_.run();
        return *result;
    }
    void control(const std::string& fault, const std::string& body) {
        std::optional<call_result> result;
        http_request request;
        request.method = http_method::post;
        request.path = "/control/" + fault;
        request.body = body;
        http_->call(std::move(request), 5s, [&](call_result end) {
            result = std::move(end);
            loop_.stop();
        });
        loop_.run();
        CPPUNIT_ASSERT_EQUAL(200, result->response.status);
    }

    void records_come_back() {
        const std::string binary("\0\xff\n", 3);
        CPPUNIT_ASSERT_EQUAL(log_offset(1), append(binary).value());
        CPPUNIT_ASSERT_EQUAL(log_offset(2), append("two").value());
        const absl::StatusOr<log_page> page = read(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, page->records.size());
        CPPUNIT_ASSERT(page->records.front().payload == binary);
        CPPUNIT_ASSERT(read(3)->records.empty());
    }

    void each_fault_arrives_as_its_error() {
        CPPUNIT_ASSERT_EQUAL(log_offset(1), append("one").value());
        control("lose_ack", R"({"count": 1})");
        CPPUNIT_ASSERT(code_of(append("two").status()) == result_code::log_silent);
        CPPUNIT_ASSERT_EQUAL(log_offset(3), read(1)->next);
        control("retention", R"({"records": 1})");
        CPPUNIT_ASSERT_EQUAL(log_offset(2), first_kept_of(read(1).status()));
        control("partition", R"({"nodes": ["entry-1"]})");
        CPPUNIT_ASSERT(code_of(read(2).status()) == result_code::log_silent);
        control("partition", R"({"nodes": []})");
        control("log_down", R"({"down": true})");
        CPPUNIT_ASSERT(code_of(append("three").status()) == result_code::log_unavailable);
        control("log_down", R"({"down": false})");
        CPPUNIT_ASSERT_EQUAL(log_offset(3), append("three").value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_log_loopback_test);

} // namespace
} // namespace figwinch
