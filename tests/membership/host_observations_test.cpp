#include "figwinch/membership.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch {
namespace {

using namespace std::chrono_literals;

class host_observations_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(host_observations_test);
    CPPUNIT_TEST(a_hosts_own_word_comes_before_the_lagging_list);
    CPPUNIT_TEST(a_host_that_came_back_is_used_again);
    CPPUNIT_TEST_SUITE_END();

    manual_clock time_;
    host_observations hosts_;

    void list(bool is_leaving) {
        hosts_.note_list({{"x1", "", data_centre_id("a"), host_kind::executor, is_leaving}},
                         time_.now());
    }

    // An executor begins to leave and says so in its next answer; the platform's list shows it as
    // live for seconds more. New requests sent meanwhile would be cut.
    void a_hosts_own_word_comes_before_the_lagging_list() {
        list(false);
        hosts_.note_answer("x1", true, time_.now());
        list(false);
        CPPUNIT_ASSERT(hosts_.is_leaving("x1", time_.now()));
        list(true);
        hosts_.note_answer("x1", false, time_.now());
        CPPUNIT_ASSERT(hosts_.is_leaving("x1", time_.now()));
    }

    void a_host_that_came_back_is_used_again() {
        hosts_.note_answer("x1", true, time_.now());
        hosts_.note_answer("x1", false, time_.now());
        CPPUNIT_ASSERT(!hosts_.is_leaving("x1", time_.now()));
        hosts_.note_answer("x1", true, time_.now());
        time_.advance(61s);
        CPPUNIT_ASSERT(!hosts_.is_leaving("x1", time_.now()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(host_observations_test);

} // namespace
} // namespace figwinch
