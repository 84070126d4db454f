#include "figwinch/observe.h"
#include "observe/json_line.h"
#include "observe/line_sink.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <spdlog/logger.h>

#include <fcntl.h>
#include <unistd.h>

#include <array>
#include <limits>
#include <memory>
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
    CPPUNIT_TEST(a_full_pipe_costs_lines_and_no_time);
    CPPUNIT_TEST(a_line_longer_than_a_pipe_takes_is_lost);
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

    /// A pipe whose reader reads nothing, and a logger into it.
    struct stuck_pipe {
        std::array<int, 2> ends{};
        std::shared_ptr<line_sink> sink;
        std::unique_ptr<spdlog::logger> logger;

        stuck_pipe() {
            CPPUNIT_ASSERT_EQUAL(0, pipe(ends.data()));
            sink = std::make_shared<line_sink>(ends[1]);
            logger = std::make_unique<spdlog::logger>("stuck", sink);
        }
        stuck_pipe(const stuck_pipe&) = delete;
        stuck_pipe& operator=(const stuck_pipe&) = delete;
        ~stuck_pipe() {
            close(ends[0]);
            close(ends[1]);
        }
        std::string read_all() const {
            CPPUNIT_ASSERT(fcntl(ends[0], F_SETFL, O_NONBLOCK) == 0);
            std::string text;
            std::array<char, 4096> bytes{};
            for (;;) {
                const ssize_t got = read(ends[0], bytes.data(), bytes.size());
                if (got <= 0)
                    return text;
                text.append(bytes.data(), static_cast<std::size_t>(got));
            }
        }
    };

    // The collector of a host's log freezes. Its pipe fills up within seconds, and a coordinator
    // that waits for it prolongs no leases: every task of the cell ends. 100,000 lines of a
    // hundred bytes are ten times what the pipe holds and then some; a sink that waits never
    // comes to the end of this test.
    void a_full_pipe_costs_lines_and_no_time() {
        const stuck_pipe stuck;
        const std::string line(100, 'x');
        constexpr std::uint64_t lines = 100'000;
        for (std::uint64_t index = 0; index < lines; ++index)
            stuck.logger->info(line);
        const std::string text = stuck.read_all();
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, text.size() % (line.size() + 1));
        CPPUNIT_ASSERT(!text.empty());
        CPPUNIT_ASSERT_EQUAL(lines, stuck.sink->lost() + text.size() / (line.size() + 1));
        stuck.logger->info("read again");
        CPPUNIT_ASSERT_EQUAL(std::string("read again\n"), stuck.read_all());
    }

    void a_line_longer_than_a_pipe_takes_is_lost() {
        const stuck_pipe stuck;
        stuck.logger->info(std::string(5000, 'x'));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, stuck.sink->lost());
        CPPUNIT_ASSERT_EQUAL(std::string(), stuck.read_all());
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
