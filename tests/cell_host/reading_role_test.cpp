#include "cell_host/reading_role.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace figwinch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// When a host keeps a copy of the cell's jobs.
class reading_role_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(reading_role_test);
    CPPUNIT_TEST(a_host_reads_until_it_is_told);
    CPPUNIT_TEST(a_host_without_a_coordinator_reads);
    CPPUNIT_TEST(hosts_begin_to_read_at_different_times);
    CPPUNIT_TEST(a_host_whose_readers_dont_answer_reads);
    CPPUNIT_TEST(a_host_that_a_coordinator_is_about_to_tell_waits);
    CPPUNIT_TEST_SUITE_END();

    manual_clock time_;
    reading_role role_{time_, incarnation_id("host-1#1")};

    static offer_reply told(read_mode mode) {
        offer_reply reply;
        reply.mode = mode;
        reply.from_coordinator = true;
        reply.replicas = replica_list({{"a:1", data_centre_id("a")}});
        return reply;
    }
    void run_for(reading_role& role, duration span, bool vacant) {
        for (duration gone{}; gone < span; gone += milliseconds(100)) {
            time_.advance(milliseconds(100));
            role.tick(vacant);
        }
    }

public:
    void a_host_reads_until_it_is_told() {
        CPPUNIT_ASSERT(role_.reads());
        role_.take(told(read_mode::undecided));
        CPPUNIT_ASSERT(role_.reads());
        role_.take(told(read_mode::forwarding));
        CPPUNIT_ASSERT(!role_.reads());
        role_.take(told(read_mode::replica));
        CPPUNIT_ASSERT(role_.reads());
    }
    /// Guards against a cell in which nobody can follow a coordinator, as all that read are lost.
    void a_host_without_a_coordinator_reads() {
        role_.take(told(read_mode::forwarding));
        run_for(role_, seconds(20), false);
        CPPUNIT_ASSERT(!role_.reads());
        run_for(role_, seconds(1), true);
        CPPUNIT_ASSERT(!role_.reads());
        run_for(role_, seconds(5), true);
        CPPUNIT_ASSERT(role_.reads());
    }
    /// Guards against hosts that all load in the same moment.
    void hosts_begin_to_read_at_different_times() {
        std::set<int> begins;
        for (int host = 0; host < 20; ++host) {
            reading_role role(time_, incarnation_id("host-" + std::to_string(host) + "#1"));
            role.take(told(read_mode::forwarding));
            int turns = 0;
            for (; !role.reads(); ++turns)
                run_for(role, milliseconds(100), true);
            begins.insert(turns);
        }
        CPPUNIT_ASSERT(begins.size() > 10);
    }
    void a_host_whose_readers_dont_answer_reads() {
        role_.take(told(read_mode::forwarding));
        role_.note_unanswered();
        run_for(role_, seconds(1), false);
        role_.note_answered();
        run_for(role_, seconds(10), false);
        CPPUNIT_ASSERT(!role_.reads());
        role_.note_unanswered();
        run_for(role_, seconds(6), false);
        CPPUNIT_ASSERT(role_.reads());
        // A coordinator that reaches the readers doesn't know that this host doesn't.
        role_.take(told(read_mode::forwarding));
        CPPUNIT_ASSERT(role_.reads());
        run_for(role_, seconds(10), false);
        role_.take(told(read_mode::forwarding));
        CPPUNIT_ASSERT(!role_.reads());
    }
    /// Guards against hosts that load after a restart of all and are told to drop it.
    void a_host_that_a_coordinator_is_about_to_tell_waits() {
        CPPUNIT_ASSERT(!role_.awaits_word());
        role_.take(told(read_mode::undecided));
        CPPUNIT_ASSERT(role_.awaits_word());
        run_for(role_, seconds(3), false);
        CPPUNIT_ASSERT(!role_.awaits_word());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(reading_role_test);

} // namespace
} // namespace figwinch
