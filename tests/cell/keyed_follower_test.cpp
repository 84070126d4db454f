#include "figwinch/simulation/sim_store.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// How a host's copy of a stream is loaded and kept up to date.
class keyed_follower_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(keyed_follower_test);
    CPPUNIT_TEST(a_sync_reads_to_the_end_however_many_pages_that_takes);
    CPPUNIT_TEST(a_load_goes_on_at_the_page_that_failed);
    CPPUNIT_TEST(a_load_tells_up_to_when_a_copy_is_current);
    CPPUNIT_TEST(the_age_of_a_copy_counts_from_the_last_whole_read);
    CPPUNIT_TEST_SUITE_END();

    sim_time time_;
    sim_store store_;
    sim_log log_{time_, store_, [] { return 1.0; }};

    void run(keyed_follower& follower, duration span) {
        const instant end = time_.now() + span;
        while (time_.now() < end) {
            follower.tick();
            time_.run_for(milliseconds(10));
        }
    }

public:
    /// A host that becomes coordinator is more than one page behind. If its sync ended with the
    /// first page, it would start without the last records of its predecessor, and could start a
    /// task that is already running.
    void a_sync_reads_to_the_end_however_many_pages_that_takes() {
        std::size_t applied = 0;
        keyed_follower follower(time_.clock(), log_, cell_stream::progress, {},
                                [&applied](const stored_record&) { ++applied; });
        follower.tick();
        time_.run_for(seconds(1));
        CPPUNIT_ASSERT(follower.is_loaded());
        constexpr std::size_t behind = 35;
        for (std::size_t index = 0; index < behind; ++index)
            store_.append(cell_stream::progress, {{"k" + std::to_string(index), "v", 0}}, {});
        log_.most_read = 10;
        std::size_t known = 0;
        follower.sync([&known, &applied](bool good) { known = good ? applied : 0; });
        time_.run_for(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(behind, known);
    }

    /// Guards against a load that never ends because one page of each attempt fails.
    void a_load_goes_on_at_the_page_that_failed() {
        constexpr std::size_t keys = 90;
        for (std::size_t index = 0; index < keys; ++index)
            store_.append(cell_stream::intake, {{"k" + std::to_string(index), "v", 0}}, {});
        log_.lost_page_of = 2;
        std::set<std::string> known;
        keyed_follower follower(time_.clock(), log_, cell_stream::intake, {},
                                [&known](const stored_record& row) { known.insert(row.key); });
        run(follower, seconds(8));
        CPPUNIT_ASSERT(follower.is_loaded());
        CPPUNIT_ASSERT_EQUAL(keys, known.size());
    }
    /// Guards against a new coordinator that starts no task until its first long read has returned.
    void a_load_tells_up_to_when_a_copy_is_current() {
        const follow_options long_reads{seconds(5), milliseconds(10)};
        keyed_follower follower(time_.clock(), log_, cell_stream::operators, long_reads,
                                [](const stored_record&) {});
        run(follower, milliseconds(100));
        CPPUNIT_ASSERT(time_.now() - follower.current_as_of() <= milliseconds(100));
    }
    /// Guards against decisions on a copy that is out of date because reads fail.
    void the_age_of_a_copy_counts_from_the_last_whole_read() {
        keyed_follower follower(time_.clock(), log_, cell_stream::workers, {},
                                [](const stored_record&) {});
        run(follower, seconds(2));
        CPPUNIT_ASSERT(time_.now() - follower.current_as_of() < milliseconds(300));
        log_.unreadable = cell_stream::workers;
        run(follower, seconds(2));
        CPPUNIT_ASSERT(time_.now() - follower.current_as_of() >= seconds(2));
        log_.unreadable = std::nullopt;
        run(follower, seconds(2));
        CPPUNIT_ASSERT(time_.now() - follower.current_as_of() < milliseconds(300));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(keyed_follower_test);

} // namespace
} // namespace figwinch::sim
