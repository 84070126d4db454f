#include "figwinch/log.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch {
namespace {

using namespace std::chrono_literals;

class log_evidence_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(log_evidence_test);
    CPPUNIT_TEST(nothing_is_known_before_the_first_confirmation);
    CPPUNIT_TEST(silence_ends_the_right_to_start);
    CPPUNIT_TEST(an_unbroken_outage_keeps_the_right_to_start);
    CPPUNIT_TEST(a_gap_in_the_outage_ends_the_right_for_good);
    CPPUNIT_TEST_SUITE_END();

    manual_clock time_;
    log_evidence evidence_{freshness_limits{}};

    void outage_for(duration length, duration step) {
        const instant end = time_.now() + length;
        while (time_.now() < end) {
            time_.advance(step);
            evidence_.note_unavailable(time_.now());
        }
    }

    void nothing_is_known_before_the_first_confirmation() {
        evidence_.note_unavailable(time_.now());
        CPPUNIT_ASSERT(evidence_.judge(time_.now()) == freshness::unknown);
    }

    // The link to the log goes silent. A drain may be accepted at any moment after the last
    // confirmed read, so that after two seconds nothing may be started.
    void silence_ends_the_right_to_start() {
        evidence_.note_confirmed(time_.now());
        time_.advance(2s);
        CPPUNIT_ASSERT(evidence_.judge(time_.now()) == freshness::confirmed);
        time_.advance(1ms);
        CPPUNIT_ASSERT(evidence_.judge(time_.now()) == freshness::unknown);
    }

    void an_unbroken_outage_keeps_the_right_to_start() {
        evidence_.note_confirmed(time_.now());
        outage_for(1h, 500ms);
        CPPUNIT_ASSERT(evidence_.judge(time_.now()) == freshness::outage);
    }

    // The log is down, this process is frozen for two seconds, the log comes back, takes a drain
    // and goes down again before this process wakes. The answers on both sides of the gap say
    // "unavailable", yet a change was accepted between them.
    void a_gap_in_the_outage_ends_the_right_for_good() {
        evidence_.note_confirmed(time_.now());
        outage_for(10s, 500ms);
        time_.advance(2s);
        outage_for(10s, 500ms);
        CPPUNIT_ASSERT(evidence_.judge(time_.now()) == freshness::unknown);
        evidence_.note_confirmed(time_.now());
        CPPUNIT_ASSERT(evidence_.judge(time_.now()) == freshness::confirmed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(log_evidence_test);

} // namespace
} // namespace figwinch
