#include "figwinch/observe.h"
#include "observe/json_line.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <limits>
#include <string>

namespace figwinch {
namespace {

std::string quoted(std::string_view text) {
    std::string out;
    append_json_string(out, text);
    return out;
}

class event_logger_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(event_logger_test);
    CPPUNIT_TEST(a_line_is_one_json_object);
    CPPUNIT_TEST(control_bytes_and_quotes_are_escaped);
    CPPUNIT_TEST(bytes_that_are_not_utf8_are_replaced);
    CPPUNIT_TEST(levels_change_while_running);
    CPPUNIT_TEST_SUITE_END();

    void a_line_is_one_json_object() {
        json_line line;
        line.add("event", "x");
        line.add({"count", std::int64_t{-3}});
        line.add({"ratio", 0.5});
        line.add({"endless", std::numeric_limits<double>::infinity()});
        line.add({"good", true});
        line.add({"name", std::string("y")});
        CPPUNIT_ASSERT_EQUAL(std::string(R"({"event": "x", "count": -3, "ratio": 0.5, )"
                                         R"("endless": null, "good": true, "name": "y"})"),
                             line.str());
    }

    // A caller sends a request id with a line end and quotes in it. Written as it is, it would
    // begin a line of its own and forge a log entry.
    void control_bytes_and_quotes_are_escaped() {
        CPPUNIT_ASSERT_EQUAL(std::string(R"("a\nb\"c\\d\u0001\u007f")"),
                             quoted("a\nb\"c\\d\x01\x7f"));
        CPPUNIT_ASSERT_EQUAL(std::string("\"caf\xc3\xa9\""), quoted("caf\xc3\xa9"));
    }

    void bytes_that_are_not_utf8_are_replaced() {
        const std::string replaced = "\"\xef\xbf\xbd\"";
        CPPUNIT_ASSERT_EQUAL(replaced, quoted("\xff"));
        CPPUNIT_ASSERT_EQUAL(replaced, quoted("\xc3"));
        CPPUNIT_ASSERT_EQUAL(std::string("\"\xef\xbf\xbd\xef\xbf\xbd\""), quoted("\xc0\x80"));
        CPPUNIT_ASSERT_EQUAL(std::string("\"\xf0\x9f\x8c\xb2\""), quoted("\xf0\x9f\x8c\xb2"));
    }

    void levels_change_while_running() {
        start_logging("test", "node", log_level::error);
        CPPUNIT_ASSERT(current_log_level() == log_level::error);
        change_log_level(log_level::debug);
        CPPUNIT_ASSERT(current_log_level() == log_level::debug);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(event_logger_test);

} // namespace
} // namespace figwinch
