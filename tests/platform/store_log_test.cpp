#include "platform/store_log.h"

#include "tests/net/slow_link.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_cat.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <array>
#include <optional>
#include <utility>

namespace figwinch::platform {
namespace {

constexpr std::size_t kilobyte = 1000;
// 1 Mbit/s.
constexpr std::size_t slow_link_bytes_per_s = 125 * kilobyte;
// 10 Mbit/s.
constexpr std::size_t normal_link_bytes_per_s = 1250 * kilobyte;

/// Calls to the store over slow links: they must not time out while data still arrives or an append
/// is queued in the store.
class store_log_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(store_log_test);
    CPPUNIT_TEST(a_large_configuration_arrives_beside_two_other_loads);
    CPPUNIT_TEST(the_largest_page_arrives_over_a_slow_link);
    CPPUNIT_TEST(an_append_of_many_records_gets_its_answer_over_a_slow_link);
    CPPUNIT_TEST(an_append_that_waits_in_the_log_gets_its_answer);
    CPPUNIT_TEST(a_refusal_for_good_is_no_outage);
    CPPUNIT_TEST_SUITE_END();

    event_loop loop_;
    std::unique_ptr<http_server> store_;
    std::unique_ptr<slow_link> link_;
    std::unique_ptr<store_log> log_;
    std::size_t value_bytes_ = 0;
    /// How long the store takes before it answers an append.
    duration append_delay_{};
    std::unique_ptr<event_handle> append_timer_;
    int append_status_ = 200;

    void start(std::size_t value_bytes, std::size_t bytes_per_s) {
        value_bytes_ = value_bytes;
        http_server_limits limits;
        limits.max_body_bytes = 2000 * kilobyte;
        auto listening = http_server::listen(
            loop_, "127.0.0.1", 0, limits,
            [this](const http_request& request, const std::shared_ptr<http_responder>& to) {
                if (request.method == http_method::get)
                    return to->respond(page());
                append_timer_ = loop_.after(append_delay_, [this, to] { to->respond(stored()); });
            });
        CPPUNIT_ASSERT(listening.ok());
        store_ = std::move(*listening);
        link_ = std::make_unique<slow_link>(loop_, store_->port(), bytes_per_s);
        log_ = std::make_unique<store_log>(loop_, endpoint{"127.0.0.1", link_->port()});
    }
    http_response page() const {
        http_response answer;
        const std::string value = absl::Base64Escape(std::string(value_bytes_, 'v'));
        answer.body = absl::StrCat(R"({"items":[{"key":"k","value":")", value,
                                   R"(","offset":3}],"hasMore":false,"end":4})");
        return answer;
    }
    http_response stored() const {
        http_response answer;
        answer.status = append_status_;
        answer.body = R"({"offset":0,"end":1})";
        return answer;
    }
    /// Loads one page of each stream in parallel; returns the fault of each load.
    std::vector<log_fault> load(const std::vector<cell_stream>& streams) {
        std::vector<log_fault> faults;
        for (const cell_stream stream : streams) {
            log_->read_newest(stream, "", [&](const newest_result& read) {
                faults.push_back(read.fault);
                if (faults.size() == streams.size())
                    loop_.stop();
            });
        }
        loop_.run();
        return faults;
    }
    log_fault append(const std::vector<stored_record>& records) {
        std::optional<append_result> result;
        log_->append(cell_stream::intake, records, {}, [&](const append_result& ended) {
            result = ended;
            loop_.stop();
        });
        loop_.run();
        return result->fault;
    }
    static void assert_none(const std::vector<log_fault>& faults) {
        for (const log_fault fault : faults)
            CPPUNIT_ASSERT(fault == log_fault::none);
    }

public:
    /// Guards against a host that never loads its configuration when all hosts restart at once: a
    /// 400 KB page takes over a second on a 10 Mbit/s link that also carries the pages of two other
    /// streams.
    void a_large_configuration_arrives_beside_two_other_loads() {
        start(400 * kilobyte, normal_link_bytes_per_s);
        assert_none(load({cell_stream::operators, cell_stream::progress, cell_stream::intake}));
    }
    /// Guards against a host on a slow link that times out on the same page for ever: the largest
    /// page, 1 MB, takes 8 s on a 1 Mbit/s link.
    void the_largest_page_arrives_over_a_slow_link() {
        start(600 * kilobyte, slow_link_bytes_per_s);
        assert_none(load({cell_stream::intake}));
    }
    /// Guards against an append that times out and is retried while its body is still being sent.
    void an_append_of_many_records_gets_its_answer_over_a_slow_link() {
        start(0, slow_link_bytes_per_s);
        const std::vector<stored_record> records(40, {"k", std::string(4 * kilobyte, 'v'), 0});
        CPPUNIT_ASSERT(append(records) == log_fault::none);
    }
    /// Guards against an append of a job that times out and is retried while it is queued in the
    /// store behind the appends of other hosts.
    void an_append_that_waits_in_the_log_gets_its_answer() {
        append_delay_ = std::chrono::milliseconds(800);
        start(0, normal_link_bytes_per_s);
        CPPUNIT_ASSERT(append({{"k", "v", 0}}) == log_fault::none);
    }
    /// Guards against a record that the store never takes and that is sent again for ever.
    void a_refusal_for_good_is_no_outage() {
        start(0, normal_link_bytes_per_s);
        const std::array expected = {
            std::pair{400, log_fault::rejected},    std::pair{413, log_fault::rejected},
            std::pair{429, log_fault::unavailable}, std::pair{503, log_fault::unavailable},
            std::pair{507, log_fault::unavailable},
        };
        for (const auto& [status, fault] : expected) {
            append_status_ = status;
            CPPUNIT_ASSERT(append({{"k", "v", 0}}) == fault);
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_log_test);

} // namespace
} // namespace figwinch::platform
