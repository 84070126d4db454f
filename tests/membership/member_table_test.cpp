#include "figwinch/membership.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace figwinch {
namespace {

using namespace std::chrono_literals;

member process(const std::string& node, const std::string& run,
               member_state state = member_state::live) {
    return {node_id(node),      incarnation_id(node + "#" + run),
            member_role::entry, data_centre_id("a"),
            "10.0.0.1:7000",    state,
            instant{}};
}

class member_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(member_table_test);
    CPPUNIT_TEST(silence_makes_a_suspect_then_a_dead_member);
    CPPUNIT_TEST(a_late_heartbeat_of_an_old_incarnation_is_ignored);
    CPPUNIT_TEST(leaving_is_final_for_an_incarnation);
    CPPUNIT_TEST(a_frozen_process_does_not_bury_its_peers);
    CPPUNIT_TEST(hearsay_does_not_keep_a_member_alive);
    CPPUNIT_TEST(the_table_is_bounded_and_forgets);
    CPPUNIT_TEST_SUITE_END();

    manual_clock time_;
    member_table table_{node_id("self"), membership_limits{}};

    member_state state_of(const std::string& node) { return table_.find(node_id(node))->state; }
    void listen_for(duration length) {
        for (duration passed{}; passed < length; passed += 100ms) {
            time_.advance(100ms);
            table_.advance(time_.now());
        }
    }

    void silence_makes_a_suspect_then_a_dead_member() {
        CPPUNIT_ASSERT(table_.hear(process("a", "1"), time_.now()));
        CPPUNIT_ASSERT(state_of("a") == member_state::live);
        CPPUNIT_ASSERT(!table_.hear(process("a", "1"), time_.now()));
        listen_for(1600ms);
        CPPUNIT_ASSERT(state_of("a") == member_state::suspect);
        CPPUNIT_ASSERT(table_.hear(process("a", "1"), time_.now()));
        listen_for(5100ms);
        CPPUNIT_ASSERT(state_of("a") == member_state::dead);
    }

    // A process is restarted, and a heartbeat of its earlier run, held up on the way, arrives last.
    // Taken for news it would make the restarted process seem gone and the old owner alive.
    void a_late_heartbeat_of_an_old_incarnation_is_ignored() {
        table_.hear(process("a", "1"), time_.now());
        CPPUNIT_ASSERT(table_.hear(process("a", "2"), time_.now()));
        CPPUNIT_ASSERT(!table_.hear(process("a", "1"), time_.now()));
        CPPUNIT_ASSERT_EQUAL(incarnation_id("a#2"), table_.find(node_id("a"))->incarnation);
    }

    // A stopping process says so, and an older heartbeat of it arrives after that. Work sent to it
    // now would be cut.
    void leaving_is_final_for_an_incarnation() {
        table_.hear(process("a", "1", member_state::leaving), time_.now());
        table_.hear(process("a", "1"), time_.now());
        CPPUNIT_ASSERT(state_of("a") == member_state::leaving);
        table_.hear(process("a", "2"), time_.now());
        CPPUNIT_ASSERT(state_of("a") == member_state::live);
    }

    // This process is stopped for a minute and goes on. Its peers never stopped; were they dead to
    // it, it would take over the jobs of all of them at once.
    void a_frozen_process_does_not_bury_its_peers() {
        table_.hear(process("a", "1"), time_.now());
        listen_for(1s);
        time_.advance(60s);
        table_.advance(time_.now());
        CPPUNIT_ASSERT(state_of("a") == member_state::live);
        listen_for(1s);
        CPPUNIT_ASSERT(state_of("a") == member_state::suspect);
    }

    void hearsay_does_not_keep_a_member_alive() {
        CPPUNIT_ASSERT(table_.learn(process("b", "1"), time_.now()));
        CPPUNIT_ASSERT(state_of("b") == member_state::suspect);
        for (int i = 0; i < 10; ++i) {
            table_.learn(process("b", "1"), time_.now());
            listen_for(200ms);
        }
        listen_for(1600ms);
        CPPUNIT_ASSERT(table_.find(node_id("b")) == nullptr);
        CPPUNIT_ASSERT(table_.changed_since(instant{}).empty());
    }

    void the_table_is_bounded_and_forgets() {
        for (int i = 0; i < 2000; ++i)
            table_.hear(process("node" + std::to_string(i), "1"), time_.now());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1024}, table_.members().size());
        listen_for(11min);
        CPPUNIT_ASSERT(table_.members().empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(member_table_test);

} // namespace
} // namespace figwinch
