#include "tests/net/raw_client.h"

#include "figwinch/net.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <memory>
#include <vector>

namespace figwinch {
namespace {

class event_loop_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(event_loop_test);
    CPPUNIT_TEST(timers_fire_in_order_of_their_delay);
    CPPUNIT_TEST(a_handle_may_be_destroyed_in_its_own_call);
    CPPUNIT_TEST(a_destroyed_handle_does_not_fire);
    CPPUNIT_TEST(posted_calls_run_in_order_on_the_next_turn);
    CPPUNIT_TEST(a_posted_call_that_never_ran_is_destroyed);
    CPPUNIT_TEST(a_signal_arrives_as_a_call);
    CPPUNIT_TEST(endpoints_are_parsed_strictly);
    CPPUNIT_TEST(a_signal_is_ignored_once_nobody_waits_for_it);
    CPPUNIT_TEST_SUITE_END();

    void timers_fire_in_order_of_their_delay() {
        event_loop loop;
        std::vector<int> order;
        const auto second = loop.after(std::chrono::milliseconds(40), [&] { order.push_back(2); });
        const auto first = loop.after(std::chrono::milliseconds(1), [&] { order.push_back(1); });
        run_until(loop, [&] { return order.size() == 2; });
        CPPUNIT_ASSERT((order == std::vector<int>{1, 2}));
    }

    void a_handle_may_be_destroyed_in_its_own_call() {
        event_loop loop;
        int calls = 0;
        std::unique_ptr<event_handle> handle;
        handle = loop.every(std::chrono::milliseconds(1), [&] {
            handle.reset();
            ++calls;
        });
        run_until(loop, [&] { return calls > 0; });
        CPPUNIT_ASSERT_EQUAL(1, calls);
    }

    void a_destroyed_handle_does_not_fire() {
        event_loop loop;
        bool fired = false;
        bool later = false;
        auto cancelled = loop.after(std::chrono::milliseconds(1), [&] { fired = true; });
        const auto after = loop.after(std::chrono::milliseconds(5), [&] { later = true; });
        cancelled.reset();
        run_until(loop, [&] { return later; });
        CPPUNIT_ASSERT(!fired);
    }

    void posted_calls_run_in_order_on_the_next_turn() {
        event_loop loop;
        std::vector<int> order;
        loop.post([&] {
            loop.post([&] { order.push_back(3); });
            order.push_back(1);
        });
        loop.post([&] { order.push_back(2); });
        CPPUNIT_ASSERT(order.empty());
        run_until(loop, [&] { return order.size() == 3; });
        CPPUNIT_ASSERT((order == std::vector<int>{1, 2, 3}));
    }

    void a_posted_call_that_never_ran_is_destroyed() {
        auto kept = std::make_shared<int>(1);
        {
            event_loop loop;
            loop.post([kept] { (void)kept; });
        }
        CPPUNIT_ASSERT_EQUAL(1L, kept.use_count());
    }

    void a_signal_arrives_as_a_call() {
        event_loop loop;
        bool seen = false;
        const auto watch = loop.on_signal(SIGUSR1, [&] { seen = true; });
        std::raise(SIGUSR1);
        run_until(loop, [&] { return seen; });
    }

    void endpoints_are_parsed_strictly() {
        CPPUNIT_ASSERT(parse_endpoint("10.0.0.1:8080") == (endpoint{"10.0.0.1", 8080}));
        CPPUNIT_ASSERT(parse_endpoint("[::1]:80") == (endpoint{"::1", 80}));
        CPPUNIT_ASSERT_EQUAL(std::string("[::1]:80"), to_string(endpoint{"::1", 80}));
        for (const char* bad : {"", "10.0.0.1", "host:80", "10.0.0.1:0", "10.0.0.1:65536",
                                "10.0.0.1:8a", "10.0.0.1:", "10.0.0:80", "10.0.0.1:-1"})
            CPPUNIT_ASSERT_MESSAGE(bad, !parse_endpoint(bad));
    }
    /// Story: an operator asks a process to stop twice. The second SIGTERM comes when all requests
    /// are answered and the process is about to end: it was killed by it, and its exit code said
    /// that the stop had failed.
    void a_signal_is_ignored_once_nobody_waits_for_it() {
        event_loop loop;
        loop.on_signal(SIGTERM, [] {}).reset();
        struct sigaction now {};
        sigaction(SIGTERM, nullptr, &now);
        CPPUNIT_ASSERT(now.sa_handler == SIG_IGN);
        std::signal(SIGTERM, SIG_DFL);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_loop_test);

} // namespace
} // namespace figwinch
