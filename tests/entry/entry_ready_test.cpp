#include "tests/entry/region.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch {
namespace {

class entry_ready_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(entry_ready_test);
    CPPUNIT_TEST(an_entry_is_ready_once_its_peers_are_known);
    CPPUNIT_TEST_SUITE_END();

    static int ready_status(region& all) {
        http_request message;
        message.path = "/ready";
        const auto result = all.call("e0", message);
        all.finish();
        return result->response.status;
    }

    // Guards against an entry that says that it is ready and refuses jobs for want of a scheduler.
    void an_entry_is_ready_once_its_peers_are_known() {
        region all(1, 1);
        all.entries.at("e0").peers->settled = false;
        CPPUNIT_ASSERT_EQUAL(503, ready_status(all));
        all.entries.at("e0").peers->settled = true;
        CPPUNIT_ASSERT_EQUAL(200, ready_status(all));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_ready_test);

} // namespace
} // namespace figwinch
