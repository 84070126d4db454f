#include "tests/scheduler/one_worker_region.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace figwinch::testing {
namespace {

using namespace std::chrono_literals;

class core_moves_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(core_moves_test);
    CPPUNIT_TEST(a_job_without_room_goes_to_a_peer_that_has_some);
    CPPUNIT_TEST(a_job_stays_where_it_is_when_no_peer_has_room);
    CPPUNIT_TEST(a_peer_is_not_given_more_than_it_has_room_for);
    CPPUNIT_TEST(a_job_with_an_attempt_stays);
    CPPUNIT_TEST_SUITE_END();

    one_worker_region region_;
    const incarnation_id peer_{"p#1"};

    void launch_beside_peer(const resources& room) {
        region_.launch({});
        region_.run_for(1s);
        member peer;
        peer.node = node_id("p");
        peer.incarnation = peer_;
        peer.role = member_role::scheduler;
        peer.data_centre = data_centre_id("dc-2");
        peer.state = member_state::live;
        region_.config.data_centres.push_back({data_centre_id("dc-2"), true});
        region_.publish();
        region_.core->on_members({peer}, region_.time.now());
        region_.core->on_peer_room(peer_, room);
    }

    incarnation_id owner_of(const std::string& job) const {
        return region_.core->owner_of(make_job_key("studio", job));
    }

    // One scheduler's worker is full of renders for an hour, a peer's workers are idle. A master
    // that was submitted to the first waits for the hour.
    void a_job_without_room_goes_to_a_peer_that_has_some() {
        launch_beside_peer({4000, 8192, 0});
        region_.submit("render-1", 3'600'000);
        region_.submit("render-2", 3'600'000);
        region_.run_for(2s);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, region_.worker.running().size());
        region_.submit("master", 1000);
        region_.run_for(6s);
        CPPUNIT_ASSERT_EQUAL(peer_, owner_of("master"));
        CPPUNIT_ASSERT_EQUAL(incarnation_id("s#1"), owner_of("render-1"));
    }

    void a_job_stays_where_it_is_when_no_peer_has_room() {
        launch_beside_peer({1000, 8192, 0});
        for (int i = 0; i < 3; ++i)
            region_.submit("render-" + std::to_string(i), 3'600'000);
        region_.run_for(30s);
        for (int i = 0; i < 3; ++i)
            CPPUNIT_ASSERT_EQUAL(incarnation_id("s#1"), owner_of("render-" + std::to_string(i)));
    }

    // Ten jobs wait and a peer says it has room for two. Given all ten, it would move eight of them
    // on, and each move is a record of the log.
    void a_peer_is_not_given_more_than_it_has_room_for() {
        launch_beside_peer({4000, 8192, 0});
        for (int i = 0; i < 12; ++i)
            region_.submit("render-" + std::to_string(i), 3'600'000);
        region_.run_for(30s);
        int moved = 0;
        for (int i = 0; i < 12; ++i)
            moved += owner_of("render-" + std::to_string(i)) == peer_ ? 1 : 0;
        CPPUNIT_ASSERT_EQUAL(2, moved);
    }

    void a_job_with_an_attempt_stays() {
        launch_beside_peer({4000, 8192, 0});
        region_.submit("render-1", 3'600'000);
        region_.submit("render-2", 3'600'000);
        region_.run_for(30s);
        CPPUNIT_ASSERT_EQUAL(incarnation_id("s#1"), owner_of("render-1"));
        CPPUNIT_ASSERT_EQUAL(incarnation_id("s#1"), owner_of("render-2"));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(core_moves_test);

} // namespace
} // namespace figwinch::testing
