#include "cell_host/worker_list.h"

#include "tests/cell_host/captured_log.h"
#include "tests/cell_host/fake_platform.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch {
namespace {

/// Counts decoded entries. An entry is "STATE SEQUENCE"; states that begin with "unreadable" fail
/// to decode.
class counting_platform final : public fake_platform {
public:
    using fake_platform::fake_platform;

    mutable int decoded = 0;
    bool tells_digests = true;

    absl::StatusOr<worker_listing> decode_listing(std::string_view id,
                                                  std::string_view bytes) const override {
        ++decoded;
        const std::string_view state = bytes.substr(0, bytes.find(' '));
        if (state.starts_with("unreadable"))
            return make_error(result_code::malformed_request, "unreadable state");
        worker_listing listing;
        listing.id = worker_id(id);
        listing.leaving = state == "leaving";
        return listing;
    }
    std::optional<std::uint64_t> listing_digest(std::string_view bytes) const override {
        if (!tells_digests)
            return std::nullopt;
        return stable_hash(bytes.substr(0, bytes.find(' ')));
    }
};

/// Tests which entries of the workers stream change the list that the coordinator gets.
class worker_list_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(worker_list_test);
    CPPUNIT_TEST(an_entry_that_says_nothing_new_costs_no_decoding);
    CPPUNIT_TEST(an_entry_that_is_decoded_to_the_same_changes_nothing);
    CPPUNIT_TEST(a_notice_changes_the_list);
    CPPUNIT_TEST(an_entry_that_cant_be_read_names_no_worker);
    CPPUNIT_TEST(a_worker_that_comes_back_is_listed);
    CPPUNIT_TEST(an_unreadable_version_is_logged_and_decoded_once);
    CPPUNIT_TEST(many_unreadable_entries_cost_few_log_lines);
    CPPUNIT_TEST_SUITE_END();

    static constexpr const char* event = R"("event": "worker_entry_unreadable")";

    event_loop loop_;
    counting_platform platform_{loop_};
    manual_clock time_;
    worker_list list_{time_, platform_};

    void write(const std::string& id, const std::string& entry) { list_.apply({id, entry, 0}); }
    void drop(const std::string& id) { list_.apply({id, std::nullopt, 0}); }

public:
    void setUp() override {
        write("w1", "ready 1");
        write("w2", "ready 1");
        CPPUNIT_ASSERT(list_.poll_changed());
        platform_.decoded = 0;
    }
    /// Guards against a coordinator that spends its CPU time on entries without changes.
    void an_entry_that_says_nothing_new_costs_no_decoding() {
        for (int sequence = 2; sequence < 10; ++sequence)
            write("w1", "ready " + std::to_string(sequence));
        CPPUNIT_ASSERT_EQUAL(0, platform_.decoded);
        CPPUNIT_ASSERT(!list_.poll_changed());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, list_.listings().size());
    }
    /// Guards against a placement round after each read of the stream, on platforms without
    /// digests.
    void an_entry_that_is_decoded_to_the_same_changes_nothing() {
        platform_.tells_digests = false;
        write("w1", "ready 2");
        CPPUNIT_ASSERT_EQUAL(1, platform_.decoded);
        CPPUNIT_ASSERT(!list_.poll_changed());
    }
    /// Guards against starting tasks on a worker because its notice of leaving was skipped as
    /// unchanged.
    void a_notice_changes_the_list() {
        write("w1", "leaving 2");
        CPPUNIT_ASSERT(list_.poll_changed());
        CPPUNIT_ASSERT(list_.listings().front().leaving);
        write("w1", "ready 3");
        CPPUNIT_ASSERT(list_.poll_changed());
        CPPUNIT_ASSERT(!list_.listings().front().leaving);
    }
    /// Guards against starting tasks on a worker whose current entry can't be decoded.
    void an_entry_that_cant_be_read_names_no_worker() {
        write("w1", "unreadable 2");
        CPPUNIT_ASSERT(list_.poll_changed());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, list_.listings().size());
        write("w1", "ready 3");
        CPPUNIT_ASSERT(list_.poll_changed());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, list_.listings().size());
    }
    /// Guards against a worker that is missing from the list after it was deleted and came back
    /// with the same entry.
    void a_worker_that_comes_back_is_listed() {
        drop("w1");
        CPPUNIT_ASSERT(list_.poll_changed());
        drop("w1");
        CPPUNIT_ASSERT(!list_.poll_changed());
        write("w1", "ready 1");
        CPPUNIT_ASSERT(list_.poll_changed());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, list_.listings().size());
    }
    /// Guards against a worker that is left out without a trace, and against a line for each write
    /// of the same unreadable entry.
    void an_unreadable_version_is_logged_and_decoded_once() {
        const captured_log log(log_level::warn);
        const std::string listed = R"("was_listed": true)";
        for (int sequence = 2; sequence < 10; ++sequence)
            write("w1", "unreadable " + std::to_string(sequence));
        CPPUNIT_ASSERT_EQUAL(1, platform_.decoded);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.count(event));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.count(listed));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.count(R"("worker": "w1")"));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.count(R"("why": "unreadable state")"));
        write("w1", "unreadable-too 10");
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, log.count(event));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.count(listed));
        write("w1", "ready 11");
        write("w1", "unreadable-too 12");
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, log.count(event));
        drop("w1");
        write("w1", "unreadable-too 13");
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, log.count(event));
    }
    /// Guards against a log that another writer floods with unreadable entries.
    void many_unreadable_entries_cost_few_log_lines() {
        const captured_log log(log_level::warn);
        for (int number = 0; number < 100; ++number)
            write("odd" + std::to_string(number), "unreadable 1");
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, log.count(event));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, list_.listings().size());
        time_.advance(std::chrono::seconds(10));
        write("w2", "unreadable 2");
        CPPUNIT_ASSERT_EQUAL(std::size_t{11}, log.count(event));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log.count(R"("suppressed": 90)"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_list_test);

} // namespace
} // namespace figwinch
