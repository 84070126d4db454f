#include "figwinch/log.h"
#include "figwinch/net.h"
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
    CPPUNIT_TEST_SUITE_END();

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
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_log_slow_link_test);

} // namespace
} // namespace figwinch
