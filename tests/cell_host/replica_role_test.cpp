#include "cell_host/replica_role.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace figwinch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tests when a host keeps a read replica of the cell's jobs.
class replica_role_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(replica_role_test);
    CPPUNIT_TEST(a_host_reads_until_it_is_told);
    CPPUNIT_TEST(a_host_without_a_coordinator_reads);
    CPPUNIT_TEST(hosts_begin_to_read_at_different_times);
    CPPUNIT_TEST(a_host_whose_readers_dont_answer_reads);
    CPPUNIT_TEST(a_host_that_a_coordinator_is_about_to_tell_waits);
    CPPUNIT_TEST_SUITE_END();

    manual_clock time_;
    replica_role role_{time_, incarnation_id("host-1#1")};

    static offer_reply assignment(read_mode mode) {
        offer_reply reply;
        reply.mode = mode;
        reply.from_coordinator = true;
        reply.replicas = replica_list({{"a:1", data_centre_id("a")}});
        return reply;
    }
    void run_for(replica_role& role, duration span, bool vacant) {
        for (duration gone{}; gone < span; gone += milliseconds(100)) {
            time_.advance(milliseconds(100));
            role.tick(vacant);
        }
    }

public:
    void a_host_reads_until_it_is_told() {
        CPPUNIT_ASSERT(role_.is_replica());
        role_.apply(assignment(read_mode::undecided));
        CPPUNIT_ASSERT(role_.is_replica());
        role_.apply(assignment(read_mode::forwarding));
        CPPUNIT_ASSERT(!role_.is_replica());
        role_.apply(assignment(read_mode::replica));
        CPPUNIT_ASSERT(role_.is_replica());
    }
    /// Guards against a cell that stays without a coordinator because all hosts with replicas,
    /// which alone may succeed it, are lost.
    void a_host_without_a_coordinator_reads() {
        role_.apply(assignment(read_mode::forwarding));
        run_for(role_, seconds(20), false);
        CPPUNIT_ASSERT(!role_.is_replica());
        run_for(role_, seconds(1), true);
        CPPUNIT_ASSERT(!role_.is_replica());
        run_for(role_, seconds(5), true);
        CPPUNIT_ASSERT(role_.is_replica());
    }
    /// Guards against hosts that all load a snapshot at the same moment.
    void hosts_begin_to_read_at_different_times() {
        std::set<int> begins;
        for (int host = 0; host < 20; ++host) {
            replica_role role(time_, incarnation_id("host-" + std::to_string(host) + "#1"));
            role.apply(assignment(read_mode::forwarding));
            int turns = 0;
            for (; !role.is_replica(); ++turns)
                run_for(role, milliseconds(100), true);
            begins.insert(turns);
        }
        CPPUNIT_ASSERT(begins.size() > 10);
    }
    void a_host_whose_readers_dont_answer_reads() {
        role_.apply(assignment(read_mode::forwarding));
        role_.on_unanswered();
        run_for(role_, seconds(1), false);
        role_.on_answered();
        run_for(role_, seconds(10), false);
        CPPUNIT_ASSERT(!role_.is_replica());
        role_.on_unanswered();
        run_for(role_, seconds(6), false);
        CPPUNIT_ASSERT(role_.is_replica());
        // The coordinator may reach the replicas and not know that this host can't, so its
        // assignment is ignored for a time.
        role_.apply(assignment(read_mode::forwarding));
        CPPUNIT_ASSERT(role_.is_replica());
        run_for(role_, seconds(10), false);
        role_.apply(assignment(read_mode::forwarding));
        CPPUNIT_ASSERT(!role_.is_replica());
    }
    /// Guards against hosts that load a replica after a restart of the whole cell and are then
    /// assigned to drop it.
    void a_host_that_a_coordinator_is_about_to_tell_waits() {
        CPPUNIT_ASSERT(!role_.awaits_assignment());
        role_.apply(assignment(read_mode::undecided));
        CPPUNIT_ASSERT(role_.awaits_assignment());
        run_for(role_, seconds(3), false);
        CPPUNIT_ASSERT(!role_.awaits_assignment());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(replica_role_test);

} // namespace
} // namespace figwinch
