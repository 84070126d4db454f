#include "tools/error_table/error_table.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <sstream>
#include <string>

namespace figwinch {
namespace {

class error_page_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(error_page_test);
    CPPUNIT_TEST(the_page_says_what_the_code_says);
    CPPUNIT_TEST_SUITE_END();

    void the_page_says_what_the_code_says() {
        const std::ifstream file(FIGWINCH_SOURCE_DIR "/docs/ERRORS.md");
        std::ostringstream page;
        page << file.rdbuf();
        CPPUNIT_ASSERT_EQUAL_MESSAGE("run tools/renew_errors_page", render_error_page(),
                                     page.str());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(error_page_test);

} // namespace
} // namespace figwinch
