#include "log/log_page_codec.h"
#include "standin_platform/standin_platform.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>

namespace figwinch {
namespace {

using namespace std::chrono_literals;

class fake_responder final : public http_responder {
public:
    std::optional<http_response> answer;
    void respond(http_response response) override { answer = std::move(response); }
    bool is_open() const override { return true; }
};

class standin_platform_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(standin_platform_test);
    CPPUNIT_TEST(records_are_kept_in_order);
    CPPUNIT_TEST(an_outage_appends_nothing);
    CPPUNIT_TEST(silence_gives_no_answer);
    CPPUNIT_TEST(a_lost_acknowledgement_keeps_the_record);
    CPPUNIT_TEST(a_cut_caller_gets_no_answer_and_others_do);
    CPPUNIT_TEST(the_host_list_lags);
    CPPUNIT_TEST(unknown_faults_and_fields_are_refused);
    CPPUNIT_TEST_SUITE_END();

    manual_clock time_;
    event_loop loop_;
    standin_platform platform_{loop_, time_};

    std::optional<http_response> send(http_method method, const std::string& path,
                                      const std::string& body, const std::string& query = "",
                                      const std::string& node = "") {
        http_request request;
        request.method = method;
        request.path = path;
        request.query = query;
        request.body = body;
        if (!node.empty())
            request.headers.add("Figwinch-Node", node);
        const auto responder = std::make_shared<fake_responder>();
        platform_.handle(request, responder);
        return responder->answer;
    }
    std::optional<http_response> append(const std::string& record, const std::string& node = "") {
        return send(http_method::post, "/v1/log/s/records", record, "", node);
    }
    http_response read(int from) {
        return send(http_method::get, "/v1/log/s/records", "", "from=" + std::to_string(from))
            .value();
    }
    int control(const std::string& fault, const std::string& body) {
        return send(http_method::post, "/control/" + fault, body)->status;
    }

    void records_are_kept_in_order() {
        append("one");
        CPPUNIT_ASSERT_EQUAL(std::string("{\"offset\": 2}"), append("two")->body);
        const log_page page = decode_log_page(read(2).body).value();
        CPPUNIT_ASSERT_EQUAL(log_offset(3), page.next);
        CPPUNIT_ASSERT_EQUAL(std::string("two"), page.records.at(0).payload);
        control("retention", R"({"records": 1})");
        CPPUNIT_ASSERT_EQUAL(410, read(1).status);
        CPPUNIT_ASSERT_EQUAL(log_offset(2), decode_log_page(read(1).body)->first_kept);
    }

    void an_outage_appends_nothing() {
        control("log_down", R"({"down": true})");
        CPPUNIT_ASSERT_EQUAL(503, append("one")->status);
        control("log_down", R"({"down": false})");
        CPPUNIT_ASSERT_EQUAL(log_offset(1), decode_log_page(read(1).body)->next);
    }

    void silence_gives_no_answer() {
        control("log_silent", R"({"silent": true})");
        CPPUNIT_ASSERT(!append("one").has_value());
    }

    void a_lost_acknowledgement_keeps_the_record() {
        control("lose_ack", R"({"count": 1})");
        CPPUNIT_ASSERT(!append("one").has_value());
        CPPUNIT_ASSERT(append("two").has_value());
        CPPUNIT_ASSERT_EQUAL(log_offset(3), decode_log_page(read(1).body)->next);
    }

    void a_cut_caller_gets_no_answer_and_others_do() {
        control("partition", R"({"nodes": ["entry-1"]})");
        CPPUNIT_ASSERT(!append("one", "entry-1").has_value());
        CPPUNIT_ASSERT_EQUAL(200, append("two", "entry-2")->status);
    }

    void the_host_list_lags() {
        control("hosts", R"({"hosts": [{"name": "w1", "kind": "worker"}], "lag_ms": 2000})");
        const auto has_w1 = [this] {
            return send(http_method::get, "/v1/hosts", "")->body.find("w1") != std::string::npos;
        };
        CPPUNIT_ASSERT(!has_w1());
        time_.advance(2s);
        CPPUNIT_ASSERT(has_w1());
    }

    void unknown_faults_and_fields_are_refused() {
        CPPUNIT_ASSERT_EQUAL(404, control("log_dwn", "{}"));
        CPPUNIT_ASSERT_EQUAL(400, control("log_down", R"({"dwn": true})"));
        CPPUNIT_ASSERT_EQUAL(400, control("log_slow", R"({"ms": -1})"));
        CPPUNIT_ASSERT_EQUAL(400, control("lose_ack", "count=1"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(standin_platform_test);

} // namespace
} // namespace figwinch
