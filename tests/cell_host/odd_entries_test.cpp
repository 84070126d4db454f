#include "cell_host/stream_polling.h"
#include "cell_host/worker_list.h"
#include "platform/worker_codec.h"
#include "tests/cell_host/captured_log.h"
#include "tests/cell_host/fake_platform.h"
#include "tests/cell_host/scripted_log.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <utility>

namespace figwinch {
namespace {

/// Decodes workers' entries as the users' platform has them.
class listing_platform final : public fake_platform {
public:
    using fake_platform::fake_platform;

    absl::StatusOr<worker_listing> decode_listing(std::string_view id,
                                                  std::string_view bytes) const override {
        return platform::decode_listing(id, bytes);
    }
    std::optional<std::uint64_t> listing_digest(std::string_view bytes) const override {
        return platform::listing_digest(bytes);
    }
};

/// Follows a workers stream in which another writer left odd entries.
class odd_entries_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(odd_entries_test);
    CPPUNIT_TEST(an_odd_entry_from_the_start_hides_no_other);
    CPPUNIT_TEST(an_odd_entry_that_is_appended_hides_no_other);
    CPPUNIT_TEST(a_good_version_after_an_odd_one_is_followed);
    CPPUNIT_TEST(an_odd_version_takes_out_its_worker_alone);
    CPPUNIT_TEST_SUITE_END();

    event_loop loop_;
    listing_platform platform_{loop_};
    manual_clock time_;
    scripted_log log_{cell_stream::workers};
    worker_list list_{time_, platform_};
    keyed_follower follower_{time_, log_, cell_stream::workers, workers_polling,
                             [this](const stored_record& record) { list_.apply(record); }};

    static std::string entry(const std::string& address = "10.9.8.7:80",
                             const std::string& cpu = "7", const std::string& cold_ms = "6") {
        return R"({"service":"s","address":")" + address +
               R"(","state":"ready","sequence":3,"born":5,"coldRemainingMs":)" + cold_ms +
               R"(,"capacity":{"cpu":)" + cpu + R"(,"memMb":8},"labels":["a","r"]})";
    }
    static std::vector<std::pair<std::string, std::string>> odd_entries() {
        constexpr std::size_t depth = 1'000'000;
        constexpr std::size_t longest_key = 255;
        const std::string deep = std::string(depth, '[') + std::string(depth, ']');
        return {{"a-deep", deep},
                {"b-deep-capacity", entry("10.9.8.7:80", deep)},
                {"c-huge", entry("10.9.8.7:80", "1e300")},
                {"d-largest", entry("10.9.8.7:80", "7", "9223372036854775807")},
                {"e-lowest", entry("10.9.8.7:80", "7", "-9223372036854775808")},
                {"f-endless", entry("10.9.8.7:80", "1e400")},
                {"g-port", entry("10.9.8.7:65536")},
                {"h-port", entry("10.9.8.7:0")},
                {"i-port", entry("10.9.8.7:99999999999")},
                {"j-bytes", std::string("\0\xff\xfe{", 4)},
                {"", entry()},
                {std::string(longest_key, 'k'), "7"}};
    }
    void add(const std::string& key, const std::string& value) {
        log_.records.push_back({key, value, log_.records.size()});
    }
    void follow() {
        for (int turn = 0; turn < 4; ++turn) {
            follower_.tick();
            time_.advance(std::chrono::milliseconds(200));
        }
    }
    std::string listed() const {
        std::string ids;
        for (const worker_listing& worker : list_.listings())
            ids += worker.id.str() + " ";
        return ids;
    }

public:
    /// Guards against a host that can't begin while such an entry is there.
    void an_odd_entry_from_the_start_hides_no_other() {
        add("w1", entry());
        for (const auto& [key, value] : odd_entries())
            add(key, value);
        add("w2", entry());
        const captured_log log(log_level::warn);
        follow();
        CPPUNIT_ASSERT_EQUAL(std::string("w1 w2 "), listed());
        // As many lines as may be written in 10 s.
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, log.count("worker_entry_unreadable"));
    }
    /// Guards against a host that stops following the list at such an entry.
    void an_odd_entry_that_is_appended_hides_no_other() {
        add("w1", entry());
        follow();
        int number = 1;
        for (const auto& [key, value] : odd_entries()) {
            const captured_log log(log_level::warn);
            time_.advance(std::chrono::seconds(10));
            add(key, value);
            add("w" + std::to_string(++number), entry());
            follow();
            CPPUNIT_ASSERT_EQUAL(static_cast<std::size_t>(number), list_.listings().size());
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.count("worker_entry_unreadable"));
            CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.count(R"("worker": ")" + key + "\""));
        }
    }
    void a_good_version_after_an_odd_one_is_followed() {
        std::size_t good = 0;
        for (const auto& [key, value] : odd_entries()) {
            add(key, value);
            follow();
            CPPUNIT_ASSERT_EQUAL(good, list_.listings().size());
            add(key, entry());
            follow();
            good += key.empty() ? 0 : 1;
            CPPUNIT_ASSERT_EQUAL(good, list_.listings().size());
        }
    }
    void an_odd_version_takes_out_its_worker_alone() {
        add("w1", entry());
        add("w2", entry());
        for (const auto& [key, value] : odd_entries()) {
            add("w2", value);
            follow();
            // The value of the entry with an empty key is good.
            CPPUNIT_ASSERT_EQUAL(std::string(key.empty() ? "w1 w2 " : "w1 "), listed());
            add("w2", entry());
            follow();
            CPPUNIT_ASSERT_EQUAL(std::string("w1 w2 "), listed());
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(odd_entries_test);

} // namespace
} // namespace figwinch
