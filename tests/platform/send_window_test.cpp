#include "platform/send_window.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <vector>

namespace figwinch::platform {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;

class send_window_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(send_window_test);
    CPPUNIT_TEST(what_there_is_room_for_is_sent_at_once);
    CPPUNIT_TEST(what_waits_is_sent_in_order);
    CPPUNIT_TEST(a_call_larger_than_the_window_is_sent_alone);
    CPPUNIT_TEST(unresponsive_peers_dont_delay_calls_to_others);
    CPPUNIT_TEST(a_call_that_others_overtook_makes_room);
    CPPUNIT_TEST(a_call_that_ends_while_it_is_sent_makes_room);
    CPPUNIT_TEST(fast_answers_let_a_full_window_grow);
    CPPUNIT_TEST(a_window_that_is_hardly_used_doesnt_grow);
    CPPUNIT_TEST(slow_answers_halve_the_window_once_a_round_trip);
    CPPUNIT_TEST_SUITE_END();

    using call_ids = std::vector<send_window::call_id>;

    event_loop loop_;
    call_ids sent_;

    static send_window_options fixed_size(std::size_t limit, duration stall_timeout) {
        return {limit, limit, stall_timeout, {}, {}};
    }
    void submit(send_window& window, std::size_t size) {
        window.submit(size, [this](send_window::call_id call) { sent_.push_back(call); });
    }
    void assert_sent(const call_ids& expected) { CPPUNIT_ASSERT(sent_ == expected); }

public:
    /// Guards against calls that are delayed although the window has room.
    void what_there_is_room_for_is_sent_at_once() {
        send_window window(loop_, fixed_size(10, hours(1)));
        submit(window, 6);
        submit(window, 4);
        assert_sent({1, 2});
    }
    /// Guards against starvation of a large call: smaller calls that would fit must not overtake it
    /// until its deadline has passed.
    void what_waits_is_sent_in_order() {
        send_window window(loop_, fixed_size(10, hours(1)));
        for (const std::size_t size : {8U, 7U, 1U})
            submit(window, size);
        assert_sent({1});
        window.on_call_ended(1, true);
        assert_sent({1, 2, 3});
    }
    /// Guards against a call that is never sent because it is larger than the window.
    void a_call_larger_than_the_window_is_sent_alone() {
        send_window window(loop_, fixed_size(10, hours(1)));
        submit(window, 11);
        submit(window, 1);
        assert_sent({1});
        window.on_call_ended(1, false);
        assert_sent({1, 2});
    }
    /// Guards against a coordinator that gets no reports because the workers that it asked first
    /// are cut off and their calls fill the window.
    void unresponsive_peers_dont_delay_calls_to_others() {
        send_window window(loop_, fixed_size(2, milliseconds(10)));
        submit(window, 1);
        submit(window, 1);
        window.submit(1, [this](send_window::call_id call) {
            sent_.push_back(call);
            loop_.stop();
        });
        assert_sent({1, 2});
        loop_.run();
        assert_sent({1, 2, 3});
    }
    /// Guards against calls to unresponsive workers that gradually fill the window while most other
    /// workers answer.
    void a_call_that_others_overtook_makes_room() {
        send_window window(loop_, fixed_size(2, hours(1)));
        for (int call = 0; call < 5; ++call)
            submit(window, 1);
        window.on_call_ended(2, true);
        assert_sent({1, 2, 3});
        window.on_call_ended(3, true);
        assert_sent({1, 2, 3, 4, 5});
        // Call 1 no longer counts as in flight, so its end makes no more room.
        submit(window, 1);
        window.on_call_ended(1, false);
        assert_sent({1, 2, 3, 4, 5});
    }
    /// Guards against a queue that stalls after a call which ends within its own `send`, as an
    /// order does that is no longer wanted.
    void a_call_that_ends_while_it_is_sent_makes_room() {
        send_window window(loop_, fixed_size(1, hours(1)));
        submit(window, 1);
        window.submit(1,
                      [&window](send_window::call_id call) { window.on_call_ended(call, false); });
        submit(window, 1);
        window.on_call_ended(1, true);
        assert_sent({1, 3});
    }
    /// Guards against a window that stays at its lower bound on a fast link.
    void fast_answers_let_a_full_window_grow() {
        send_window window(loop_, {4, 64, hours(1), hours(1), hours(1)});
        for (int call = 0; call < 100; ++call)
            submit(window, 1);
        for (send_window::call_id call = 1; call <= 100; ++call)
            window.on_call_ended(call, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{64}, window.limit());
    }
    /// Guards against a window that grows while it is hardly used, beyond what the link has been
    /// seen to carry.
    void a_window_that_is_hardly_used_doesnt_grow() {
        send_window window(loop_, {4, 64, hours(1), hours(1), hours(1)});
        for (send_window::call_id call = 1; call <= 100; ++call) {
            submit(window, 1);
            window.on_call_ended(call, true);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, window.limit());
    }
    /// Guards against a window that doesn't shrink on an overloaded link, and against one that
    /// halves for each of several slow answers to calls that were in flight together.
    void slow_answers_halve_the_window_once_a_round_trip() {
        send_window window(loop_, {4, 64, hours(1), milliseconds(20), milliseconds(40)});
        for (int call = 0; call < 16; ++call)
            submit(window, 1);
        for (send_window::call_id call = 1; call <= 8; ++call)
            window.on_call_ended(call, true);
        const std::size_t grown = window.limit();
        CPPUNIT_ASSERT(grown > 8);
        const auto late = loop_.after(milliseconds(60), [this] { loop_.stop(); });
        loop_.run();
        for (send_window::call_id call = 9; call <= 16; ++call)
            window.on_call_ended(call, true);
        CPPUNIT_ASSERT_EQUAL(grown / 2, window.limit());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(send_window_test);

} // namespace
} // namespace figwinch::platform
