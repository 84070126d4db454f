#include "figwinch/simulation/sim_store.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <deque>

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// How long the store keeps records that have been replaced by newer ones of their key.
constexpr duration kept = seconds(20);
// How long a page of 1 MB takes on a link of 1 Mbit/s, or on a shared link.
constexpr duration page_time = seconds(8);

/// Guards against a follower that never catches up with its stream.
class follower_progress_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(follower_progress_test);
    CPPUNIT_TEST(a_load_that_takes_longer_than_the_history_is_kept_ends);
    CPPUNIT_TEST(a_read_that_brings_nothing_of_what_is_there_isnt_current);
    CPPUNIT_TEST_SUITE_END();

    sim_time time_;
    sim_store store_;
    sim_log log_{time_, store_, [] { return 1.0; }};
    std::deque<std::pair<instant, std::uint64_t>> ends_;

    /// Appends a record every 100 ms and drops records that are older than `kept`.
    void write_and_forget() {
        store_.append(cell_stream::intake, {{"n", "v", 0}}, {});
        sim_store::stream& stream = store_.of(cell_stream::intake);
        ends_.emplace_back(time_.now(), stream.end());
        while (ends_.front().first + kept < time_.now()) {
            const std::uint64_t first = ends_.front().second;
            ends_.pop_front();
            while (stream.first < first) {
                stream.records.erase(stream.records.begin());
                ++stream.first;
            }
        }
        time_.after(milliseconds(100), [this] { write_and_forget(); });
    }
    void run(keyed_follower& follower, duration span) {
        const instant end = time_.now() + span;
        while (time_.now() < end) {
            follower.tick();
            // Tail reads return few records, so that only pages of a load are slow.
            log_.delay = follower.is_loaded() ? duration(milliseconds(4)) : page_time;
            time_.run_for(milliseconds(10));
        }
    }

public:
    /// Guards against a load that restarts at its first page whenever it has ended, because the
    /// store no longer keeps the records that were appended since it began.
    void a_load_that_takes_longer_than_the_history_is_kept_ends() {
        constexpr std::size_t keys = 60;
        for (std::size_t index = 0; index < keys; ++index)
            store_.append(cell_stream::intake, {{"k" + std::to_string(index), "v", 0}}, {});
        write_and_forget();
        log_.delay = page_time;
        keyed_follower follower(time_.clock(), log_, cell_stream::intake, {},
                                [](const stored_record&) {});
        run(follower, seconds(120));
        CPPUNIT_ASSERT(follower.is_loaded());
        CPPUNIT_ASSERT(time_.now() - follower.current_as_of() < seconds(1));
    }
    /// Guards against a follower that reports that it is up to date although it never receives a
    /// record that exceeds the size of one read.
    void a_read_that_brings_nothing_of_what_is_there_isnt_current() {
        std::string taken;
        keyed_follower follower(
            time_.clock(), log_, cell_stream::operators, {},
            [&taken](const stored_record& record) { taken = record.value.value_or(""); });
        log_.delay = milliseconds(4);
        for (int step = 0; step < 100; ++step) {
            follower.tick();
            time_.run_for(milliseconds(10));
        }
        CPPUNIT_ASSERT(follower.is_loaded());
        log_.most_read = 0;
        store_.append(cell_stream::operators, {{"config", "2", 0}}, {});
        const instant appended = time_.now();
        for (int step = 0; step < 300; ++step) {
            follower.tick();
            time_.run_for(milliseconds(10));
            CPPUNIT_ASSERT(taken == "2" || follower.current_as_of() <= appended);
        }
        CPPUNIT_ASSERT_EQUAL(std::string("2"), taken);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(follower_progress_test);

} // namespace
} // namespace figwinch::sim
