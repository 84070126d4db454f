#include "tests/cell/recovery_fixture.h"

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// What a coordinator may start on workers that will leave and in data centres that are evacuated.
class worker_notice_test : public recovery_fixture {
    CPPUNIT_TEST_SUITE(worker_notice_test);
    CPPUNIT_TEST(nothing_starts_on_a_worker_whose_notice_cant_be_read);
    CPPUNIT_TEST(nothing_starts_in_a_data_centre_whose_evacuation_cant_be_read);
    CPPUNIT_TEST(a_start_that_waits_unsent_isnt_sent_once_the_notice_is_read);
    CPPUNIT_TEST(a_start_that_waits_too_long_unsent_isnt_sent);
    CPPUNIT_TEST_SUITE_END();

    std::map<std::string, instant> last_start_;

    void begin_with_load() {
        start_cell();
        world_.fleet().on_start_sent = [this](const std::string& worker, const std::string&) {
            last_start_[worker] = world_.time().now();
        };
        submit_repeatedly(0);
    }
    void submit_repeatedly(int number) {
        const std::size_t host = world_.host(0) != nullptr ? 0 : 1;
        world_.submit(host, "n" + std::to_string(number),
                      cell_world::make_job({cell_world::make_step(4, 500)}));
        world_.time().after(milliseconds(100), [this, number] { submit_repeatedly(number + 1); });
    }
    sim_log& coordinators_log() { return world_.host(*world_.coordinator())->way_to_log(); }
    void delay_starts(duration span) {
        for (std::size_t index = 0; index < world_.hosts(); ++index)
            world_.host(index)->way_to_workers().unsent = span;
    }

public:
    /// Guards against starts on a worker that left seconds ago, by a coordinator whose copy of the
    /// worker list is no longer updated while the log confirms its term.
    void nothing_starts_on_a_worker_whose_notice_cant_be_read() {
        begin_with_load();
        coordinators_log().unreadable = cell_stream::workers;
        world_.time().run_for(seconds(1));
        world_.list_worker("w1", "leaving");
        const instant notice = world_.time().now();
        world_.time().run_for(seconds(6));
        CPPUNIT_ASSERT(last_start_["w1"] < notice + cell_settings().leave_notice);
        coordinators_log().unreadable = std::nullopt;
        const instant readable = world_.time().now();
        world_.time().run_for(seconds(3));
        CPPUNIT_ASSERT(last_start_["w1"] < readable);
        CPPUNIT_ASSERT(last_start_["w2"] > readable);
        assert_invariants();
    }
    /// Guards against starts in a data centre that is evacuated, by a coordinator whose copy of the
    /// operators' notices is no longer updated.
    void nothing_starts_in_a_data_centre_whose_evacuation_cant_be_read() {
        begin_with_load();
        coordinators_log().unreadable = cell_stream::operators;
        world_.time().run_for(seconds(1));
        const std::string out = world_.fleet().workers.at("w1").listing.data_centre.str();
        world_.store().append(cell_stream::operators, {{"out/" + out, "1", 0}}, {});
        const instant notice = world_.time().now();
        world_.time().run_for(seconds(9));
        CPPUNIT_ASSERT(last_start_["w1"] < notice + cell_settings().evacuation_notice);
        assert_invariants();
    }
    /// Guards against a start order that waited for the host's connection and is sent to a worker
    /// that is known to be leaving.
    void a_start_that_waits_unsent_isnt_sent_once_the_notice_is_read() {
        constexpr duration read_within = milliseconds(300);
        begin_with_load();
        delay_starts(milliseconds(700));
        world_.time().run_for(seconds(3));
        sim_orders& orders = world_.host(*world_.coordinator())->way_to_workers();
        run_until([&orders] { return orders.waits_for == "w1"; });
        world_.list_worker("w1", "leaving");
        const instant notice = world_.time().now();
        world_.time().run_for(seconds(3));
        CPPUNIT_ASSERT(last_start_["w1"] < notice + read_within);
        CPPUNIT_ASSERT(last_start_["w2"] > notice + seconds(1));
        assert_invariants();
    }
    /// Guards against start orders that use bandwidth although they arrive after their expiry.
    void a_start_that_waits_too_long_unsent_isnt_sent() {
        delay_starts(milliseconds(900));
        begin_with_load();
        world_.time().run_for(seconds(5));
        CPPUNIT_ASSERT(last_start_.empty());
        delay_starts(duration::zero());
        world_.time().run_for(seconds(5));
        CPPUNIT_ASSERT(!last_start_.empty());
        assert_invariants();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_notice_test);

} // namespace
} // namespace figwinch::sim
