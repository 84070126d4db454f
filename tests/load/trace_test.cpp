#include "tools/load/trace.h"

#include "figwinch/base.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <sstream>
#include <string>

namespace figwinch::load {
namespace {

class trace_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(trace_test);
    CPPUNIT_TEST(lines_are_read_in_order_of_time);
    CPPUNIT_TEST(a_bad_line_is_named_by_its_number);
    CPPUNIT_TEST(the_same_seed_gives_the_same_arrivals);
    CPPUNIT_TEST_SUITE_END();

    static absl::StatusOr<trace> read(const std::string& text) {
        std::istringstream in(text);
        return read_trace(in);
    }

    void lines_are_read_in_order_of_time() {
        const auto events =
            read(R"({"at_ms": 9.5, "kind": "job", "id": "j", "customer": "c", "tasks": 2})"
                 "\n"
                 R"({"at_ms": 1, "kind": "request", "id": "r", "customer": "c", "service": "s", )"
                 R"("deadline_ms": 5})"
                 "\n\n");
        CPPUNIT_ASSERT(events.ok());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, events->size());
        CPPUNIT_ASSERT_EQUAL(std::string("r"), (*events)[0].id());
        CPPUNIT_ASSERT_EQUAL(9.5, (*events)[1].at_ms());
    }

    void a_bad_line_is_named_by_its_number() {
        const std::string good = R"({"kind": "cancel", "id": "j", "customer": "c"})";
        for (const char* bad : {"{", R"({"kind": "cancel", "id": "j"})",
                                R"({"kind": "cancel", "id": "j", "customer": "c", "rate": 1})",
                                R"({"kind": "other", "id": "j", "customer": "c"})"}) {
            const auto events = read(good + "\n" + bad + "\n");
            CPPUNIT_ASSERT(code_of(events.status()) == result_code::invalid_value);
            CPPUNIT_ASSERT(std::string(events.status().message()).starts_with("line 2: "));
        }
    }

    void the_same_seed_gives_the_same_arrivals() {
        poisson_settings settings;
        settings.rate = 200;
        settings.seconds = 50;
        const trace first = poisson_trace(settings);
        const trace second = poisson_trace(settings);
        CPPUNIT_ASSERT_EQUAL(first.size(), second.size());
        CPPUNIT_ASSERT_EQUAL(first.back().at_ms(), second.back().at_ms());
        settings.seed = 2;
        CPPUNIT_ASSERT(poisson_trace(settings).back().at_ms() != first.back().at_ms());
        // 10,000 expected; the standard deviation is 100.
        CPPUNIT_ASSERT(std::abs(static_cast<double>(first.size()) - 10'000) < 500);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(trace_test);

} // namespace
} // namespace figwinch::load
