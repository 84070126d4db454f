#include "figwinch/routing.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch {
namespace {

using namespace std::chrono_literals;

class retry_policy_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(retry_policy_test);
    CPPUNIT_TEST(an_outage_of_all_executors_adds_less_than_a_tenth);
    CPPUNIT_TEST(a_non_idempotent_request_is_sent_again_only_when_proven_not_run);
    CPPUNIT_TEST(a_refusal_after_a_lost_reply_is_not_said_to_have_not_run);
    CPPUNIT_TEST(crossed_and_partial_answers_are_recognised);
    CPPUNIT_TEST_SUITE_END();

    retry_policy policy_{retry_policy::settings{}, 7};

    // Every executor is down. Each request is refused and sent again, so that the executors that
    // come back are met by several times their load and fall over again.
    void an_outage_of_all_executors_adds_less_than_a_tenth() {
        constexpr int requests = 1000;
        int dispatches = 0;
        for (int i = 0; i < requests; ++i) {
            policy_.note_request();
            dispatch_history history{true, 1, false};
            while (policy_.decide(history, dispatch_end::not_sent, 5s).again_after)
                ++history.dispatches;
            dispatches += history.dispatches;
        }
        CPPUNIT_ASSERT(dispatches < requests * 11 / 10);
        CPPUNIT_ASSERT(dispatches > requests);
    }

    void a_non_idempotent_request_is_sent_again_only_when_proven_not_run() {
        const dispatch_history ticket{false, 1, false};
        for (const auto end : {dispatch_end::unknown, dispatch_end::crossed, dispatch_end::failed})
            CPPUNIT_ASSERT(!policy_.decide(ticket, end, 5s).again_after);
        CPPUNIT_ASSERT(policy_.decide(ticket, dispatch_end::refused, 5s).again_after);
        CPPUNIT_ASSERT(policy_.decide(ticket, dispatch_end::not_sent, 5s).again_after);
    }

    // The first executor runs the request and its reply is lost; the second refuses it before
    // running. The caller would be told "not run" of a request that ran.
    void a_refusal_after_a_lost_reply_is_not_said_to_have_not_run() {
        dispatch_history history{true, 4, true};
        const auto late = policy_.decide(history, dispatch_end::refused, 5s);
        CPPUNIT_ASSERT(!late.again_after);
        CPPUNIT_ASSERT(late.code == result_code::outcome_unknown);
        history.may_have_run = false;
        const auto clean = policy_.decide(history, dispatch_end::refused, 5s);
        CPPUNIT_ASSERT(clean.code == result_code::executor_refused);
    }

    void crossed_and_partial_answers_are_recognised() {
        const request_id request("r1");
        const customer_id customer("studio-a");
        const executor_answer own{200, request, customer, false, false};
        CPPUNIT_ASSERT(judge(own, request, customer) == dispatch_end::answered);
        CPPUNIT_ASSERT(judge(own, request_id("r2"), customer) == dispatch_end::crossed);
        CPPUNIT_ASSERT(judge(own, request, customer_id("studio-b")) == dispatch_end::crossed);
        CPPUNIT_ASSERT(judge({200, {}, {}, false, false}, request, customer) ==
                       dispatch_end::crossed);
        CPPUNIT_ASSERT(judge({503, request, customer, true, false}, request, customer) ==
                       dispatch_end::refused);
        CPPUNIT_ASSERT(judge({503, request, customer, false, false}, request, customer) ==
                       dispatch_end::failed);
        // Another request's refusal proves nothing of this one.
        CPPUNIT_ASSERT(judge({503, request_id("r2"), customer, true, false}, request, customer) ==
                       dispatch_end::crossed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(retry_policy_test);

} // namespace
} // namespace figwinch
