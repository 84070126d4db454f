#include "figwinch/log.h"
#include "log/http_host_list_client.h"
#include "log/http_log_client.h"
#include "log/log_page_codec.h"
#include "tests/log/fake_http_client.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace figwinch {
namespace {

using namespace std::chrono_literals;

class http_log_client_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(http_log_client_test);
    CPPUNIT_TEST(an_append_names_stream_and_caller);
    CPPUNIT_TEST(only_the_logs_own_503_proves_an_outage);
    CPPUNIT_TEST(a_page_is_read);
    CPPUNIT_TEST(a_truncated_read_tells_what_is_kept);
    CPPUNIT_TEST(a_page_with_a_hole_is_no_answer);
    CPPUNIT_TEST(hosts_are_read_and_unknown_kinds_are_left_out);
    CPPUNIT_TEST_SUITE_END();

    fake_http_client http_;
    http_log_client log_{http_, node_id("entry-1"), 1s};
    http_host_list_client hosts_{http_, node_id("entry-1"), 1s};

    absl::StatusOr<log_offset> append() {
        absl::StatusOr<log_offset> result = absl::UnknownError("no call back");
        log_.append(stream_name("config"), "payload",
                    [&](const absl::StatusOr<log_offset>& offset) { result = offset; });
        return result;
    }
    absl::StatusOr<log_page> read() {
        absl::StatusOr<log_page> result = absl::UnknownError("no call back");
        log_.read(stream_name("jobs"), log_offset(7), 100,
                  [&](const absl::StatusOr<log_page>& page) { result = page; });
        return result;
    }
    absl::StatusOr<std::vector<host_entry>> fetch() {
        absl::StatusOr<std::vector<host_entry>> result = absl::UnknownError("no call back");
        hosts_.fetch([&](const absl::StatusOr<std::vector<host_entry>>& list) { result = list; });
        return result;
    }

    void an_append_names_stream_and_caller() {
        http_.answer(200, R"({"offset": 12})");
        CPPUNIT_ASSERT_EQUAL(log_offset(12), append().value());
        const http_request& sent = http_.requests.back();
        CPPUNIT_ASSERT(sent.method == http_method::post);
        CPPUNIT_ASSERT_EQUAL(std::string("/v1/log/config/records"), sent.path);
        CPPUNIT_ASSERT_EQUAL(std::string("payload"), sent.body);
        CPPUNIT_ASSERT(sent.headers.find("figwinch-node") == "entry-1");
    }

    // The link to the log is cut, or a balancer answers in its place. Were that taken for the log's
    // own "unavailable", starts would go on while a drain is accepted behind the cut.
    void only_the_logs_own_503_proves_an_outage() {
        http_.answer(503, "");
        CPPUNIT_ASSERT(code_of(append().status()) == result_code::log_unavailable);
        for (const int status : {500, 502, 504, 404}) {
            http_.answer(status, "");
            CPPUNIT_ASSERT(code_of(append().status()) == result_code::log_silent);
            CPPUNIT_ASSERT(code_of(read().status()) == result_code::log_silent);
        }
        for (const call_outcome outcome : {call_outcome::not_sent, call_outcome::unknown}) {
            http_.fail(outcome);
            CPPUNIT_ASSERT(code_of(append().status()) == result_code::log_silent);
            CPPUNIT_ASSERT(code_of(read().status()) == result_code::log_silent);
        }
        http_.answer(200, "{}");
        CPPUNIT_ASSERT(code_of(append().status()) == result_code::log_silent);
    }

    void a_page_is_read() {
        http_.answer(200, encode_log_page({log_offset(1), log_offset(9), {{log_offset(7), "x"}}}));
        const absl::StatusOr<log_page> page = read();
        CPPUNIT_ASSERT_EQUAL(std::string("x"), page->records.front().payload);
        CPPUNIT_ASSERT_EQUAL(std::string("from=7&max=100"), http_.requests.back().query);
    }

    void a_truncated_read_tells_what_is_kept() {
        http_.answer(410, encode_log_page({log_offset(40), log_offset(50), {}}));
        CPPUNIT_ASSERT(code_of(read().status()) == result_code::log_truncated);
        CPPUNIT_ASSERT_EQUAL(log_offset(40), first_kept_of(read().status()));
    }

    void a_page_with_a_hole_is_no_answer() {
        http_.answer(
            200, encode_log_page(
                     {log_offset(1), log_offset(9), {{log_offset(7), "x"}, {log_offset(9), "y"}}}));
        CPPUNIT_ASSERT(code_of(read().status()) == result_code::log_silent);
        http_.answer(200, "\x01 garbage");
        CPPUNIT_ASSERT(code_of(read().status()) == result_code::log_silent);
    }

    void hosts_are_read_and_unknown_kinds_are_left_out() {
        http_.answer(200, R"({"hosts": [
            {"name": "w1", "address": "10.0.0.1:1", "data_centre": "a", "kind": "worker",
             "state": "leaving", "colour": "red"},
            {"name": "z", "kind": "printer", "state": "live"}]})");
        const absl::StatusOr<std::vector<host_entry>> hosts = fetch();
        const std::vector<host_entry> expected = {
            {"w1", "10.0.0.1:1", data_centre_id("a"), host_kind::worker, true}};
        CPPUNIT_ASSERT(*hosts == expected);
        http_.answer(500, "");
        CPPUNIT_ASSERT(code_of(fetch().status()) == result_code::peer_unreachable);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_log_client_test);

} // namespace
} // namespace figwinch
