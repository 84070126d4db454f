#include "tools/experiment/setup.h"

#include "tests/experiment/small_load.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch::experiment {
namespace {

class setup_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(setup_test);
    CPPUNIT_TEST(settings_of_cell_and_load_are_changed);
    CPPUNIT_TEST(nothing_changes_nothing);
    CPPUNIT_TEST(a_bad_change_is_named_with_value_and_range);
    CPPUNIT_TEST(a_load_that_no_longer_fits_is_refused);
    CPPUNIT_TEST_SUITE_END();

    static std::string error_of(const std::string& changes) {
        const auto made = make_setup("variant", small_setup().load, changes);
        return made.ok() ? "" : std::string(made.status().message());
    }
    static void refuses(const std::string& changes, const std::string& expected) {
        const std::string error = error_of(changes);
        CPPUNIT_ASSERT_MESSAGE("\"" + error + "\" doesn't say \"" + expected + "\"",
                               error.find(expected) != std::string::npos);
    }

    void settings_of_cell_and_load_are_changed() {
        const auto made = make_setup("variant", small_setup().load,
                                     "max_hold_ms=2500,status_s=90,workers=9,log_delay_ms=20");
        CPPUNIT_ASSERT(made.ok());
        CPPUNIT_ASSERT_EQUAL(std::string("variant"), made->name);
        CPPUNIT_ASSERT(made->settings.max_granted_lease == std::chrono::milliseconds(2500));
        CPPUNIT_ASSERT(made->settings.status_retention == std::chrono::seconds(90));
        CPPUNIT_ASSERT_EQUAL(std::int64_t{9}, made->load.workers);
        CPPUNIT_ASSERT(made->load.log_delay == std::chrono::milliseconds(20));
    }
    void nothing_changes_nothing() {
        const auto made = make_setup("base", small_setup().load, "");
        CPPUNIT_ASSERT(made.ok());
        CPPUNIT_ASSERT_EQUAL(std::int64_t{6}, made->load.workers);
        CPPUNIT_ASSERT(made->settings.max_granted_lease == cell_settings{}.max_granted_lease);
    }
    void a_bad_change_is_named_with_value_and_range() {
        refuses("max_hold_ms=10", "max_hold_ms=10: expected 1000 to 600000 ms");
        refuses("workers=1.5", "workers=1.5: expected 1 to 20000 workers");
        refuses("max_hold_ms=nan", "max_hold_ms=nan: expected 1000 to 600000 ms");
        refuses("max_hold_ms", "max_hold_ms: expected name=number");
        refuses("status_s=90,hold=3", "hold=3: expected the name of a setting");
    }
    void a_load_that_no_longer_fits_is_refused() {
        refuses("cores_per_worker=1", "cores=2: expected at most cores_per_worker, 1");
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(setup_test);

} // namespace
} // namespace figwinch::experiment
