#include "figwinch/config.h"
#include "tests/config/config_records.h"
#include "tests/log/sim_log.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch {
namespace {

using namespace std::chrono_literals;

class config_slow_page_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(config_slow_page_test);
    CPPUNIT_TEST(a_page_that_arrives_for_seconds_is_folded);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Guards against a process that never has its configuration: it asks for the same page anew
    /// while the page arrives over a slow link, and drops what was asked for before.
    void a_page_that_arrives_for_seconds_is_folded() {
        sim_loop loop;
        sim_log log(loop);
        log.append(stream_name("config"), replace_record("first", 0, sample_manifest()));
        sim_log_client link(loop, log);
        link.one_way = 2s;
        config_follower follower(link, loop.time(), {}, {});
        for (int tick = 0; tick < 100; ++tick) {
            follower.tick(loop.now());
            loop.run_for(50ms);
        }
        CPPUNIT_ASSERT_EQUAL(config_version(1), follower.version());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_slow_page_test);

} // namespace
} // namespace figwinch
