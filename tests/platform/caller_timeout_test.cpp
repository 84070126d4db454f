#include "platform/http_platform.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>

namespace figwinch::platform {
namespace {

/// The caller's timeout in a request's header.
class caller_timeout_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(caller_timeout_test);
    CPPUNIT_TEST(a_long_timeout_is_bounded);
    CPPUNIT_TEST(other_text_is_no_timeout);
    CPPUNIT_TEST_SUITE_END();

    static std::optional<duration> timeout_of(const std::string& text) {
        event_loop loop;
        const http_platform platform(loop, {"127.0.0.1", 1}, std::nullopt);
        http_request request;
        request.headers.add("Figwinch-Deadline-Ms", text);
        return platform.job_codec().caller_timeout(request);
    }

public:
    /// Guards against an overflow in the time by which a request has to be answered.
    void a_long_timeout_is_bounded() {
        CPPUNIT_ASSERT(timeout_of("800") == std::chrono::milliseconds(800));
        const instant now = system_clock().now();
        CPPUNIT_ASSERT(now + timeout_of("9223372036854775807").value() > now);
        CPPUNIT_ASSERT(timeout_of("9223372036854775807") == timeout_of("9000000000000000"));
    }
    void other_text_is_no_timeout() {
        for (const char* const text :
             {"", "0", "-1", "-9223372036854775808", "9223372036854775808", "1e3", "1.5", "x"})
            CPPUNIT_ASSERT_MESSAGE(text, !timeout_of(text).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_timeout_test);

} // namespace
} // namespace figwinch::platform
