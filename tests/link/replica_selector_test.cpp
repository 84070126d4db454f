#include "figwinch/link.h"

#include <absl/strings/str_cat.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace figwinch {
namespace {

using std::chrono::milliseconds;

/// Six hosts in each of two data centres and a coordinator in the first one.
class replica_selector_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(replica_selector_test);
    CPPUNIT_TEST(no_mode_is_decided_before_all_offers_arrived);
    CPPUNIT_TEST(hosts_with_most_capacity_become_replicas);
    CPPUNIT_TEST(no_host_forwards_before_replicas_have_loaded);
    CPPUNIT_TEST(an_unresponsive_replica_is_replaced);
    CPPUNIT_TEST(a_stopping_replica_is_replaced);
    CPPUNIT_TEST(replicas_are_sent_once);
    CPPUNIT_TEST(all_hosts_of_a_small_cell_are_replicas);
    CPPUNIT_TEST_SUITE_END();

    manual_clock time_;
    replica_selector selector_{time_, data_centre_id("a")};
    std::set<std::string> unresponsive_;
    std::set<std::string> leaving_;
    std::set<std::string> unloaded_;
    std::map<std::string, std::uint64_t> known_digests_;
    std::map<std::string, offer_reply> replies_;

    void offer(const std::string& address, std::uint32_t capacity) {
        if (unresponsive_.contains(address))
            return;
        const relay_offer made{incarnation_id(address + "#1"),
                               address,
                               data_centre_id(address.substr(0, 1)),
                               capacity,
                               leaving_.contains(address),
                               !unloaded_.contains(address),
                               known_digests_[address]};
        const offer_reply reply = selector_.apply_offer(made);
        if (reply.replicas)
            known_digests_[address] = reply.replicas->digest();
        replies_[address] = reply;
    }
    /// Each data centre's hosts send their offers; the first hosts have the most relay capacity.
    void step(std::uint32_t hosts = 6) {
        time_.advance(milliseconds(500));
        for (std::uint32_t index = 0; index < hosts; ++index)
            for (const char* const data_centre : {"a", "b"})
                offer(absl::StrCat(data_centre, ":", index), 100 - 10 * index);
    }
    void steps(int count) {
        for (int index = 0; index < count; ++index)
            step();
    }
    std::string hosts_in_mode(read_mode mode) const {
        std::string hosts;
        for (const auto& [address, reply] : replies_)
            if (reply.mode == mode && !unresponsive_.contains(address))
                hosts += address + " ";
        return hosts;
    }

public:
    void no_mode_is_decided_before_all_offers_arrived() {
        step();
        CPPUNIT_ASSERT_EQUAL(std::string(), hosts_in_mode(read_mode::forwarding));
        CPPUNIT_ASSERT_EQUAL(std::string(), hosts_in_mode(read_mode::replica));
        CPPUNIT_ASSERT(replies_["a:0"].from_coordinator);
    }
    /// The coordinator's data centre gets one read replica fewer, as the coordinator has a copy
    /// too.
    void hosts_with_most_capacity_become_replicas() {
        steps(4);
        CPPUNIT_ASSERT_EQUAL(std::string("a:0 a:1 b:0 b:1 b:2 "),
                             hosts_in_mode(read_mode::replica));
    }
    /// Guards against hosts that forward queries before any read replica can answer them.
    void no_host_forwards_before_replicas_have_loaded() {
        unloaded_ = {"a:0", "a:1", "b:0", "b:1", "b:2"};
        steps(4);
        CPPUNIT_ASSERT_EQUAL(std::string(), hosts_in_mode(read_mode::forwarding));
        unloaded_ = {"b:0"};
        step();
        step();
        CPPUNIT_ASSERT(!hosts_in_mode(read_mode::forwarding).empty());
        const auto replicas = replies_["b:5"].replicas.value_or(replica_list());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, replicas.entries().size());
        for (const read_replica& replica : replicas.entries())
            CPPUNIT_ASSERT(replica.bus_address != "b:0");
    }
    /// Guards against a data centre that loses its read replicas one by one without replacement.
    void an_unresponsive_replica_is_replaced() {
        steps(4);
        unresponsive_ = {"b:0", "b:1"};
        steps(5);
        CPPUNIT_ASSERT_EQUAL(std::string("a:0 a:1 b:2 b:3 b:4 "),
                             hosts_in_mode(read_mode::replica));
    }
    void a_stopping_replica_is_replaced() {
        steps(4);
        leaving_ = {"b:0"};
        steps(2);
        CPPUNIT_ASSERT_EQUAL(std::string("a:0 a:1 b:1 b:2 b:3 "),
                             hosts_in_mode(read_mode::replica));
    }
    void replicas_are_sent_once() {
        steps(4);
        CPPUNIT_ASSERT(!replies_["a:5"].replicas.has_value());
        CPPUNIT_ASSERT(known_digests_["a:5"] != 0);
        const std::uint64_t before = known_digests_["a:5"];
        unresponsive_ = {"b:0"};
        steps(5);
        CPPUNIT_ASSERT(known_digests_["a:5"] != before);
    }
    void all_hosts_of_a_small_cell_are_replicas() {
        for (int index = 0; index < 4; ++index)
            step(2);
        CPPUNIT_ASSERT_EQUAL(std::string("a:0 a:1 b:0 b:1 "), hosts_in_mode(read_mode::replica));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_selector_test);

} // namespace
} // namespace figwinch
