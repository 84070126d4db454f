#include "platform/store_log.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace figwinch::platform {
namespace {

/// Pages of the newest records of a stream. A page that is taken for the last one although more
/// follow hides workers and accepted jobs from the host that loads it.
class store_pages_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_pages_test);
    CPPUNIT_TEST(the_next_page_follows_the_last_key);
    CPPUNIT_TEST(a_key_of_another_writer_is_asked_for_in_a_valid_request);
    CPPUNIT_TEST(a_page_that_ends_with_an_unreadable_value_is_not_the_last);
    CPPUNIT_TEST(a_page_without_a_usable_key_is_a_fault);
    CPPUNIT_TEST(a_page_whose_list_is_unreadable_is_a_fault);
    CPPUNIT_TEST_SUITE_END();

    event_loop loop_;
    std::unique_ptr<http_server> store_;

    std::string query_;

    newest_result load(const std::string& body, const std::string& after_key = "") {
        auto listening = http_server::listen(
            loop_, "127.0.0.1", 0, {},
            [this, body](const http_request& request, const std::shared_ptr<http_responder>& to) {
                query_ = request.query;
                http_response answer;
                answer.body = body;
                to->respond(std::move(answer));
            });
        CPPUNIT_ASSERT(listening.ok());
        store_ = std::move(*listening);
        store_log log(loop_, endpoint{"127.0.0.1", store_->port()});
        newest_result loaded;
        log.read_newest(cell_stream::workers, after_key, [&](const newest_result& read) {
            loaded = read;
            loop_.stop();
        });
        loop_.run();
        return loaded;
    }

public:
    void the_next_page_follows_the_last_key() {
        const newest_result page = load(
            R"({"items":[{"key":"a","value":"eA==","offset":1},{"key":"b","value":"eA==","offset":2}],)"
            R"("hasMore":true,"end":9})");
        CPPUNIT_ASSERT(page.fault == log_fault::none);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, page.records.size());
        CPPUNIT_ASSERT_EQUAL(std::string("b"), page.next_key);
    }
    /// Guards against a load that never gets past a key which can't stand in a query as it is.
    void a_key_of_another_writer_is_asked_for_in_a_valid_request() {
        const std::string page = R"({"items":[],"end":9})";
        const std::string query = "topic=keyed.servers&part=0&dependsOn=";
        CPPUNIT_ASSERT(load(page, "a b&c=%#\r\n\x7f\xff").fault == log_fault::none);
        CPPUNIT_ASSERT_EQUAL(query + "a%20b%26c%3d%25%23%0d%0a%7f%ff", query_);
        CPPUNIT_ASSERT(load(page, "job/0f-1_2.3~4:5").fault == log_fault::none);
        CPPUNIT_ASSERT_EQUAL(query + "job/0f-1_2.3~4:5", query_);
    }
    void a_page_that_ends_with_an_unreadable_value_is_not_the_last() {
        const newest_result page =
            load(R"({"items":[{"key":"a","value":"?","offset":1}],"hasMore":true,"end":9})");
        CPPUNIT_ASSERT(page.fault == log_fault::none);
        CPPUNIT_ASSERT(page.records.empty());
        CPPUNIT_ASSERT_EQUAL(std::string("a"), page.next_key);
    }
    void a_page_without_a_usable_key_is_a_fault() {
        CPPUNIT_ASSERT(load(R"({"items":[],"hasMore":true,"end":9})").fault ==
                       log_fault::unavailable);
        CPPUNIT_ASSERT(load(R"({"items":[7],"hasMore":true,"end":9})").fault ==
                       log_fault::unavailable);
    }
    void a_page_whose_list_is_unreadable_is_a_fault() {
        CPPUNIT_ASSERT(load(R"({"items":"a","end":9})").fault == log_fault::unavailable);
        CPPUNIT_ASSERT(load(R"({"hasMore":true,"end":9})").fault == log_fault::unavailable);
        CPPUNIT_ASSERT(load(R"({"end":9})").fault == log_fault::none);
        CPPUNIT_ASSERT(load(R"({"items":[],"end":9})").fault == log_fault::none);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_pages_test);

} // namespace
} // namespace figwinch::platform
