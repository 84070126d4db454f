#include "figwinch/log.h"
#include "figwinch/net.h"
#include "log/http_host_list_client.h"
#include "log/http_log_client.h"
#include "log/log_page_codec.h"
#include "tests/net/slow_link.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace figwinch {
namespace {

using namespace std::chrono_literals;

// 10 Mbit/s.
constexpr std::size_t usual = 1'250'000;

/// The log's pages over a link that is slow, not silent.
class http_log_slow_link_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(http_log_slow_link_test);
    CPPUNIT_TEST(a_page_of_many_records_arrives_over_a_slow_link);
    CPPUNIT_TEST(a_list_of_many_hosts_arrives_over_a_slow_link);
    CPPUNIT_TEST(an_append_of_a_large_record_gets_its_answer_over_a_slow_link);
    CPPUNIT_TEST_SUITE_END();

    event_loop loop_;
    std::unique_ptr<http_server> server_;
    std::unique_ptr<slow_link> link_;
    std::unique_ptr<http_client> http_;

    /// Every call is answered with `body`.
    void start(std::string body) {
        auto listening = http_server::listen(
            loop_, "127.0.0.1", 0, {},
            [body = std::move(body)](const http_request&,
                                     const std::shared_ptr<http_responder>& to) {
                http_response answer;
                answer.body = body;
                to->respond(std::move(answer));
            });
        CPPUNIT_ASSERT(listening.ok());
        server_ = std::move(*listening);
        link_ = std::make_unique<slow_link>(loop_, server_->port(), usual / 5);
        http_ = http_client::create(loop_, {"127.0.0.1", link_->port()}, 4);
    }

public:
    /// Guards against a follower that asks for the same page for ever: a page is bounded in records
    /// and not in bytes, its call by the time that followers give it, 1 s. 256 of 8 KB take 1.7 s.
    void a_page_of_many_records_arrives_over_a_slow_link() {
        log_page page;
        page.first_kept = log_offset(1);
        for (std::uint64_t offset = 1; offset <= 256; ++offset)
            page.records.push_back({log_offset(offset), std::string(8192, 'p')});
        page.next = log_offset(257);
        event_loop loop;
        auto server = http_server::listen(
                          loop, "127.0.0.1", 0, {},
                          [&page](const http_request&, const std::shared_ptr<http_responder>& to) {
                              http_response answer;
                              answer.body = encode_log_page(page);
                              to->respond(std::move(answer));
                          })
                          .value();
        slow_link link(loop, server->port(), usual);
        const auto http = http_client::create(loop, {"127.0.0.1", link.port()}, 4);
        http_log_client log(*http, node_id("entry-1"), 1s);
        std::optional<absl::StatusOr<log_page>> result;
        log.read(stream_name("config"), log_offset(1), 256,
                 [&](const absl::StatusOr<log_page>& read) {
                     result = read;
                     loop.stop();
                 });
        loop.run();
        CPPUNIT_ASSERT(result->ok());
        CPPUNIT_ASSERT_EQUAL(std::size_t{256}, (*result)->records.size());
    }
    /// Guards against an entry that never learns of hosts that leave: 5000 hosts take 1.5 s.
    void a_list_of_many_hosts_arrives_over_a_slow_link() {
        constexpr std::size_t hosts = 5000;
        const std::string row = R"({"name":"w","address":"127.0.0.1:7000","kind":"worker",)"
                                R"("state":"live"})";
        std::string body = "{\"hosts\":[" + row;
        for (std::size_t host = 1; host < hosts; ++host)
            body += "," + row;
        start(body + "]}");
        http_host_list_client list(*http_, node_id("entry-1"), 1s);
        absl::StatusOr<std::vector<host_entry>> result;
        list.fetch([&](const absl::StatusOr<std::vector<host_entry>>& read) {
            result = read;
            loop_.stop();
        });
        loop_.run();
        CPPUNIT_ASSERT(result.ok());
        CPPUNIT_ASSERT_EQUAL(hosts, result->size());
    }
    /// Guards against a snapshot that is appended again and again: 400 KB take 1.6 s.
    void an_append_of_a_large_record_gets_its_answer_over_a_slow_link() {
        start(R"({"offset": 12})");
        http_log_client log(*http_, node_id("entry-1"), 1s);
        absl::StatusOr<log_offset> result;
        log.append(stream_name("config"), std::string(400'000, 's'),
                   [&](const absl::StatusOr<log_offset>& offset) {
                       result = offset;
                       loop_.stop();
                   });
        loop_.run();
        CPPUNIT_ASSERT(result.ok());
        CPPUNIT_ASSERT_EQUAL(log_offset(12), *result);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_log_slow_link_test);

} // namespace
} // namespace figwinch
