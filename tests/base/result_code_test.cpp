#include "figwinch/base.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <set>
#include <string>

namespace figwinch {
namespace {

class result_code_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(result_code_test);
    CPPUNIT_TEST(numbers_grow_and_names_are_unique);
    CPPUNIT_TEST(a_status_carries_its_code);
    CPPUNIT_TEST(a_foreign_error_is_internal);
    CPPUNIT_TEST_SUITE_END();

    void numbers_grow_and_names_are_unique() {
        std::set<std::string_view> names;
        int last = -1;
        for (const result_info& row : result_table()) {
            CPPUNIT_ASSERT(number(row.code) > last);
            CPPUNIT_ASSERT(names.insert(row.name).second);
            last = number(row.code);
        }
    }

    void a_status_carries_its_code() {
        for (const result_info& row : result_table()) {
            if (row.code == result_code::ok)
                continue;
            const absl::Status status = make_error(row.code, "reason");
            CPPUNIT_ASSERT_EQUAL(number(row.code), number(code_of(status)));
        }
    }

    void a_foreign_error_is_internal() {
        const absl::Status status = absl::UnknownError("from elsewhere");
        CPPUNIT_ASSERT(code_of(status) == result_code::internal_error);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(result_code_test);

} // namespace
} // namespace figwinch
