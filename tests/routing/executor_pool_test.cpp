#include "figwinch/routing.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace figwinch {
namespace {

using namespace std::chrono_literals;

class executor_pool_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(executor_pool_test);
    CPPUNIT_TEST(every_executor_has_one_owner);
    CPPUNIT_TEST(slots_are_never_exceeded);
    CPPUNIT_TEST(a_leaving_executor_gets_nothing_though_the_list_lags);
    CPPUNIT_TEST(a_slow_executor_is_avoided_and_tried_again);
    CPPUNIT_TEST(a_dead_executor_gets_one_trial_at_a_time);
    CPPUNIT_TEST_SUITE_END();

    const service_id service_{"tickets"};
    const data_centre_id here_{"lugo-1"};
    const node_id self_{"entry-1"};
    const instant now_{1h};

    manifest executors(int count, int slots = 8) const {
        manifest config;
        for (int i = 0; i < count; ++i) {
            executor_spec spec;
            spec.name = executor_id("x" + std::to_string(i));
            spec.data_centre = here_;
            spec.address = "127.0.0.1:" + std::to_string(9000 + i);
            spec.slots = slots;
            config.executors.push_back(spec);
        }
        return config;
    }
    executor_pool pool(int count, int slots = 8) const {
        executor_pool made({}, here_, self_);
        made.configure(executors(count, slots));
        return made;
    }

    void every_executor_has_one_owner() {
        const std::vector<node_id> live = {node_id("entry-1"), node_id("entry-2"),
                                           node_id("entry-3")};
        std::size_t owned = 0;
        for (const node_id& node : live) {
            executor_pool one({}, here_, node);
            one.configure(executors(65));
            one.set_entries(live);
            owned += one.owned().size();
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{65}, owned);
    }

    void slots_are_never_exceeded() {
        executor_pool two = pool(2);
        for (int i = 0; i < 16; ++i)
            CPPUNIT_ASSERT(two.acquire(service_, {}, now_).has_value());
        CPPUNIT_ASSERT(!two.acquire(service_, {}, now_).has_value());
        // A newer manifest does not forget what is in use.
        two.configure(executors(2));
        CPPUNIT_ASSERT(!two.has_slot(service_, now_));
        two.release(executor_id("x1"), dispatch_end::answered, 20ms, now_);
        CPPUNIT_ASSERT(two.acquire(service_, {}, now_) == executor_id("x1"));
    }

    // An executor begins to leave. The platform's list shows it as live for seconds more, so that
    // requests sent there would be cut off when it stops.
    void a_leaving_executor_gets_nothing_though_the_list_lags() {
        executor_pool one = pool(1);
        one.note_leaving(executor_id("x0"), now_);
        CPPUNIT_ASSERT(!one.has_slot(service_, now_));
        one.note_health(executor_id("x0"), true, false, now_ + 1s);
        CPPUNIT_ASSERT(one.has_slot(service_, now_ + 1s));
        one.note_health(executor_id("x0"), true, true, now_ + 2s);
        CPPUNIT_ASSERT(!one.has_slot(service_, now_ + 11s));
        one.note_health(executor_id("x0"), true, false, now_ + 12s);
        one.note_health(executor_id("x0"), false, false, now_ + 13s);
        one.note_health(executor_id("x0"), false, false, now_ + 14s);
        CPPUNIT_ASSERT(!one.has_slot(service_, now_ + 14s));
    }

    void a_slow_executor_is_avoided_and_tried_again() {
        executor_pool two = pool(2);
        for (int i = 0; i < 20; ++i) {
            two.release(executor_id("x0"), dispatch_end::answered, 200ms, now_);
            two.release(executor_id("x1"), dispatch_end::answered, 20ms, now_);
        }
        for (int i = 0; i < 8; ++i)
            CPPUNIT_ASSERT(two.acquire(service_, {}, now_) == executor_id("x1"));
        CPPUNIT_ASSERT(two.acquire(service_, {}, now_) == executor_id("x0"));
        for (int i = 0; i < 7; ++i)
            two.release(executor_id("x1"), dispatch_end::refused, 0ms, now_);
        two.release(executor_id("x0"), dispatch_end::refused, 0ms, now_);
        int tried_again = 0;
        for (int i = 0; i < 7; ++i)
            tried_again += two.acquire(service_, {}, now_ + 1min) == executor_id("x0") ? 1 : 0;
        CPPUNIT_ASSERT(tried_again > 0);
    }

    void a_dead_executor_gets_one_trial_at_a_time() {
        executor_pool one = pool(1);
        const executor_id dead("x0");
        for (int i = 0; i < 3; ++i) {
            CPPUNIT_ASSERT(one.acquire(service_, {}, now_).has_value());
            one.release(dead, dispatch_end::not_sent, 1ms, now_);
        }
        CPPUNIT_ASSERT(!one.acquire(service_, {}, now_).has_value());
        CPPUNIT_ASSERT(one.acquire(service_, {}, now_ + 500ms).has_value());
        CPPUNIT_ASSERT(!one.acquire(service_, {}, now_ + 500ms).has_value());
        one.release(dead, dispatch_end::not_sent, 1ms, now_ + 501ms);
        CPPUNIT_ASSERT(!one.acquire(service_, {}, now_ + 1s).has_value());
        CPPUNIT_ASSERT(one.acquire(service_, {}, now_ + 1501ms).has_value());
        one.release(dead, dispatch_end::answered, 20ms, now_ + 1600ms);
        CPPUNIT_ASSERT(one.acquire(service_, {}, now_ + 1600ms).has_value());
        CPPUNIT_ASSERT(one.acquire(service_, {}, now_ + 1600ms).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(executor_pool_test);

} // namespace
} // namespace figwinch
