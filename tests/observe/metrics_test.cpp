#include "figwinch/observe.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>

#include <string>

namespace figwinch {
namespace {

class metrics_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(metrics_test);
    CPPUNIT_TEST(a_counter_asked_for_twice_is_one);
    CPPUNIT_TEST(everything_is_exposed_as_text);
    CPPUNIT_TEST_SUITE_END();

    void a_counter_asked_for_twice_is_one() {
        metrics numbers;
        auto& first = numbers.counter("figwinch_requests_total", "requests", {{"code", "0"}});
        auto& second = numbers.counter("figwinch_requests_total", "requests", {{"code", "0"}});
        CPPUNIT_ASSERT(&first == &second);
    }

    void everything_is_exposed_as_text() {
        metrics numbers;
        numbers.counter("figwinch_requests_total", "requests", {{"code", "0"}}).Increment();
        numbers.gauge("figwinch_queue_length", "requests waiting").Set(3);
        numbers.histogram("figwinch_latency_seconds", "latency", {0.1, 1}).Observe(0.5);
        const std::string text = numbers.expose();
        for (const char* line : {"figwinch_requests_total{code=\"0\"} 1", "figwinch_queue_length 3",
                                 "figwinch_latency_seconds_bucket{le=\"0.1\"} 0",
                                 "figwinch_latency_seconds_bucket{le=\"1\"} 1"})
            CPPUNIT_ASSERT_MESSAGE(line, text.find(line) != std::string::npos);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(metrics_test);

} // namespace
} // namespace figwinch
