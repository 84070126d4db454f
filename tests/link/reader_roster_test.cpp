#include "figwinch/link.h"

#include <absl/strings/str_cat.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace figwinch {
namespace {

using std::chrono::milliseconds;

/// Six hosts in each of two data centres and a coordinator in the first one.
class reader_roster_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(reader_roster_test);
    CPPUNIT_TEST(nothing_is_decided_before_all_hosts_were_heard);
    CPPUNIT_TEST(the_strongest_of_each_data_centre_read);
    CPPUNIT_TEST(nobody_asks_before_readers_have_loaded);
    CPPUNIT_TEST(a_silent_reader_is_replaced);
    CPPUNIT_TEST(a_reader_that_stops_is_replaced);
    CPPUNIT_TEST(readers_are_told_once);
    CPPUNIT_TEST(all_hosts_of_a_small_cell_read);
    CPPUNIT_TEST_SUITE_END();

    manual_clock time_;
    reader_roster roster_{time_, data_centre_id("a")};
    std::set<std::string> silent_;
    std::set<std::string> leaving_;
    std::set<std::string> unloaded_;
    std::map<std::string, std::uint64_t> known_;
    std::map<std::string, offer_reply> told_;

    void offer(const std::string& address, std::uint32_t carries) {
        if (silent_.contains(address))
            return;
        const link_offer made{incarnation_id(address + "#1"),
                              address,
                              data_centre_id(address.substr(0, 1)),
                              carries,
                              leaving_.contains(address),
                              !unloaded_.contains(address),
                              known_[address]};
        const offer_reply reply = roster_.take_offer(made);
        if (reply.readers)
            known_[address] = reply.readers->digest();
        told_[address] = reply;
    }
    /// Each data centre's hosts send their offers; the first hosts have the most relay capacity.
    void turn(std::uint32_t hosts = 6) {
        time_.advance(milliseconds(500));
        for (std::uint32_t index = 0; index < hosts; ++index)
            for (const char* const data_centre : {"a", "b"})
                offer(absl::StrCat(data_centre, ":", index), 100 - 10 * index);
    }
    void turns(int count) {
        for (int index = 0; index < count; ++index)
            turn();
    }
    std::string hosts_told(reading_part part) const {
        std::string hosts;
        for (const auto& [address, reply] : told_)
            if (reply.part == part && !silent_.contains(address))
                hosts += address + " ";
        return hosts;
    }

public:
    void nothing_is_decided_before_all_hosts_were_heard() {
        turn();
        CPPUNIT_ASSERT_EQUAL(std::string(), hosts_told(reading_part::asker));
        CPPUNIT_ASSERT_EQUAL(std::string(), hosts_told(reading_part::reader));
        CPPUNIT_ASSERT(told_["a:0"].coordinates);
    }
    /// The coordinator's data centre gets one read replica fewer, as the coordinator has a copy
    /// too.
    void the_strongest_of_each_data_centre_read() {
        turns(4);
        CPPUNIT_ASSERT_EQUAL(std::string("a:0 a:1 b:0 b:1 b:2 "), hosts_told(reading_part::reader));
    }
    /// Guards against hosts that forward queries before any read replica can answer them.
    void nobody_asks_before_readers_have_loaded() {
        unloaded_ = {"a:0", "a:1", "b:0", "b:1", "b:2"};
        turns(4);
        CPPUNIT_ASSERT_EQUAL(std::string(), hosts_told(reading_part::asker));
        unloaded_ = {"b:0"};
        turn();
        turn();
        CPPUNIT_ASSERT(!hosts_told(reading_part::asker).empty());
        const auto readers = told_["b:5"].readers.value_or(reader_list());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, readers.places().size());
        for (const reader_place& reader : readers.places())
            CPPUNIT_ASSERT(reader.bus_address != "b:0");
    }
    /// Guards against a data centre that loses its read replicas one by one without replacement.
    void a_silent_reader_is_replaced() {
        turns(4);
        silent_ = {"b:0", "b:1"};
        turns(5);
        CPPUNIT_ASSERT_EQUAL(std::string("a:0 a:1 b:2 b:3 b:4 "), hosts_told(reading_part::reader));
    }
    void a_reader_that_stops_is_replaced() {
        turns(4);
        leaving_ = {"b:0"};
        turns(2);
        CPPUNIT_ASSERT_EQUAL(std::string("a:0 a:1 b:1 b:2 b:3 "), hosts_told(reading_part::reader));
    }
    void readers_are_told_once() {
        turns(4);
        CPPUNIT_ASSERT(!told_["a:5"].readers.has_value());
        CPPUNIT_ASSERT(known_["a:5"] != 0);
        const std::uint64_t before = known_["a:5"];
        silent_ = {"b:0"};
        turns(5);
        CPPUNIT_ASSERT(known_["a:5"] != before);
    }
    void all_hosts_of_a_small_cell_read() {
        for (int index = 0; index < 4; ++index)
            turn(2);
        CPPUNIT_ASSERT_EQUAL(std::string("a:0 a:1 b:0 b:1 "), hosts_told(reading_part::reader));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(reader_roster_test);

} // namespace
} // namespace figwinch
