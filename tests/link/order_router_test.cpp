#include "figwinch/link.h"
#include "tests/link/fake_peers.h"
#include "tests/link/fake_workers.h"

#include <absl/strings/str_cat.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch {
namespace {

using std::chrono::milliseconds;

/// Twenty workers in two data centres and a coordinator that can call ten workers directly.
class order_router_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(order_router_test);
    CPPUNIT_TEST(a_small_cell_is_called_directly);
    CPPUNIT_TEST(hosts_of_a_workers_data_centre_relay_its_orders);
    CPPUNIT_TEST(no_more_relays_are_used_than_the_workers_need);
    CPPUNIT_TEST(workers_of_an_unresponsive_relay_go_to_others);
    CPPUNIT_TEST(workers_of_a_relay_that_reaches_none_go_to_others);
    CPPUNIT_TEST(workers_of_a_stopping_relay_go_to_others_at_once);
    CPPUNIT_TEST(a_restarted_relay_gets_a_new_session);
    CPPUNIT_TEST_SUITE_END();

    struct host {
        fake_workers workers;
        std::unique_ptr<relay_server> server;
    };

    manual_clock time_;
    fake_workers direct_;
    fake_peers peers_;
    std::map<std::string, host> hosts_;
    order_router orders_{{time_, direct_, peers_}, "c#1/5", lease_epoch(5), 10};
    std::vector<order_outcome> held_;

    void add_host(const std::string& address) {
        host& made = hosts_[address];
        made.server = std::make_unique<relay_server>(time_, made.workers);
        peers_.hosts[address] = [&made](std::string_view body) {
            return made.server->handle_exchange(body);
        };
    }
    void offer(const std::string& address, std::uint32_t capacity, bool leaving = false,
               const std::string& incarnation = "1") {
        orders_.apply_offer({incarnation_id(address + "#" + incarnation), address,
                             data_centre_id(address.substr(0, 1)), capacity, leaving});
    }
    void hold(int workers) {
        for (int index = 0; index < workers; ++index)
            orders_.renew_lease(
                listing_of(absl::StrCat("w", index), index % 2 == 0 ? "a" : "b"), {},
                [this](order_outcome outcome, const worker_report&) { held_.push_back(outcome); });
    }
    void step() {
        time_.advance(milliseconds(25));
        orders_.tick();
        peers_.deliver();
    }
    std::size_t held_by(const std::string& address) {
        return hosts_.at(address).workers.holds.size();
    }
    void answer_holds(const std::string& address, order_outcome outcome) {
        for (fake_workers::recorded_hold& one : hosts_.at(address).workers.holds)
            if (const auto done = std::exchange(one.done, nullptr))
                done(outcome, {});
    }
    /// Adds two hosts per data centre, which become relays once the workers are known.
    void start_relaying() {
        for (const char* const address : {"a:1", "a:2", "b:1", "b:2"}) {
            add_host(address);
            offer(address, 100);
        }
        hold(20);
        time_.advance(milliseconds(600));
        for (const char* const address : {"a:1", "a:2", "b:1", "b:2"})
            offer(address, 100);
        step();
        step();
    }

public:
    /// Guards against relaying orders that the coordinator has the capacity to send directly.
    void a_small_cell_is_called_directly() {
        add_host("a:1");
        offer("a:1", 100);
        hold(10);
        time_.advance(milliseconds(600));
        step();
        hold(10);
        step();
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, direct_.holds.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, orders_.relay_count());
    }
    /// Guards against a coordinator that calls more workers directly than its CPU and bandwidth
    /// allow.
    void hosts_of_a_workers_data_centre_relay_its_orders() {
        start_relaying();
        const std::size_t before = direct_.holds.size();
        hold(20);
        step();
        CPPUNIT_ASSERT_EQUAL(before, direct_.holds.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, held_by("a:1") + held_by("a:2"));
        CPPUNIT_ASSERT(held_by("a:1") > 0 && held_by("a:2") > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, held_by("b:1") + held_by("b:2"));
    }
    /// Guards against using every host of a large cell as a relay.
    void no_more_relays_are_used_than_the_workers_need() {
        start_relaying();
        for (int more = 3; more < 30; ++more)
            offer(absl::StrCat("a:", more), 99);
        time_.advance(milliseconds(600));
        for (const char* const address : {"a:1", "a:2", "b:1", "b:2"})
            offer(address, 100);
        step();
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, orders_.relay_count());
    }
    /// Guards against workers' leases that expire because their relay does not respond any more.
    void workers_of_an_unresponsive_relay_go_to_others() {
        start_relaying();
        step();
        hold(20);
        step();
        const std::size_t lost = held_by("a:1");
        peers_.hosts.erase("a:1");
        step();
        step();
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(lost),
                             std::ranges::count(held_, order_outcome::unknown));
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, orders_.relay_count());
        const std::size_t before = held_by("a:2");
        hold(20);
        step();
        CPPUNIT_ASSERT_EQUAL(before + 10, held_by("a:2"));
    }
    /// Guards against workers' leases that expire because their relay answers the coordinator but
    /// cannot reach the workers.
    void workers_of_a_relay_that_reaches_none_go_to_others() {
        start_relaying();
        constexpr int turns_a_second = 40;
        for (int count = 0; count < turns_a_second; ++count) {
            if (count % 10 == 0)
                hold(20);
            step();
            answer_holds("a:1", order_outcome::unknown);
            for (const char* const address : {"a:2", "b:1", "b:2"})
                answer_holds(address, order_outcome::done);
        }
        const std::size_t before = held_by("a:2");
        hold(20);
        step();
        CPPUNIT_ASSERT_EQUAL(before + 10, held_by("a:2"));
    }
    /// Guards against losing orders in a planned restart of a relay.
    void workers_of_a_stopping_relay_go_to_others_at_once() {
        start_relaying();
        step();
        hold(20);
        step();
        const std::size_t open = held_by("a:1");
        offer("a:1", 100, true);
        step();
        hold(20);
        step();
        CPPUNIT_ASSERT_EQUAL(open, held_by("a:1"));
        for (const fake_workers::recorded_hold& one : hosts_.at("a:1").workers.holds)
            one.done(order_outcome::done, {});
        step();
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t(open), std::ranges::count(held_, order_outcome::done));
    }
    /// Guards against sending orders to a restarted relay process, which does not know the session.
    void a_restarted_relay_gets_a_new_session() {
        start_relaying();
        hold(20);
        step();
        add_host("a:1");
        offer("a:1", 100, false, "2");
        step();
        step();
        hold(20);
        step();
        CPPUNIT_ASSERT(held_by("a:1") > 0);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, orders_.relay_count());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(order_router_test);

} // namespace
} // namespace figwinch
