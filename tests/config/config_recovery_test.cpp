#include "ctl/config_recovery.h"
#include "tests/config/config_records.h"
#include "tests/log/sim_log.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>
#include <optional>
#include <string>

namespace figwinch {
namespace {

using namespace std::chrono_literals;

const stream_name config_stream("config");

/// One run of `figwinchctl recover`.
struct sim_recovery {
    sim_recovery(sim_loop& loop, sim_log& log, const std::string& id, const manifest& wanted)
        : link(loop, log),
          recovery(link, loop.time(), {},
                   {"ana", "after the move", record_id(id), config_version(41), wanted}, 10s,
                   [this](const change_result& end) { result = end; }) {
        tick(loop);
    }
    void tick(sim_loop& loop) {
        recovery.tick(loop.now());
        loop.after(50ms, [this, &loop] { tick(loop); });
    }
    sim_log_client link;
    std::optional<change_result> result;
    config_recovery recovery;
};

class config_recovery_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(config_recovery_test);
    CPPUNIT_TEST(a_system_that_was_down_for_too_long_starts_again);
    CPPUNIT_TEST(of_two_recoveries_all_processes_take_the_first);
    CPPUNIT_TEST(a_readable_configuration_is_left_alone);
    CPPUNIT_TEST_SUITE_END();

    sim_loop loop_;
    sim_log log_{loop_};

    void lose_everything() {
        log_.append(config_stream, replace_record("first", 0, sample_manifest()));
        log_.retention = 1;
        log_.append(config_stream, state_record("change", 1, "a", "out"));
        log_.retention = 100;
    }
    config_version version_of_newcomer() {
        sim_log_client link(loop_, log_);
        config_follower follower(link, loop_.time(), {}, nullptr);
        for (int i = 0; i < 20; ++i) {
            follower.tick(loop_.now());
            loop_.run_for(100ms);
        }
        return follower.version();
    }

    // All hosts are switched off for a weekend, and the log drops the configuration meanwhile.
    // Every change that an operator publishes names a base that nobody knows.
    void a_system_that_was_down_for_too_long_starts_again() {
        lose_everything();
        CPPUNIT_ASSERT(version_of_newcomer().is_none());
        const sim_recovery ana(loop_, log_, "r1", sample_manifest());
        loop_.run_for(3s);
        CPPUNIT_ASSERT(ana.result->end == change_end::accepted);
        CPPUNIT_ASSERT_EQUAL(config_version(42), version_of_newcomer());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log_.records(stream_name("audit")).size());
    }

    void of_two_recoveries_all_processes_take_the_first() {
        lose_everything();
        manifest other = sample_manifest();
        other.jobs.clear();
        const sim_recovery ana(loop_, log_, "r1", sample_manifest());
        const sim_recovery ben(loop_, log_, "r2", other);
        loop_.run_for(3s);
        CPPUNIT_ASSERT(ana.result->end == change_end::accepted);
        CPPUNIT_ASSERT(ben.result->end == change_end::refused);
        log_.retention = 1;
        log_.append(config_stream, state_record("next", 42, "a", "out"));
        CPPUNIT_ASSERT(version_of_newcomer().is_none());
    }

    void a_readable_configuration_is_left_alone() {
        log_.append(config_stream, replace_record("first", 0, sample_manifest()));
        const sim_recovery ana(loop_, log_, "r1", sample_manifest());
        loop_.run_for(3s);
        CPPUNIT_ASSERT(ana.result->end == change_end::refused);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, log_.records(config_stream).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_recovery_test);

} // namespace
} // namespace figwinch
