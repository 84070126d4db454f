#include "figwinch/cell.h"
#include "figwinch/simulation/sim_store.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class progress_writer_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(progress_writer_test);
    CPPUNIT_TEST(records_are_applied_in_order_and_once);
    CPPUNIT_TEST(a_batch_whose_answer_was_lost_takes_effect_once);
    CPPUNIT_TEST(a_lost_answer_holds_up_what_follows_for_less_than_callers_notice);
    CPPUNIT_TEST(a_log_that_became_slow_gets_few_repeats);
    CPPUNIT_TEST(a_fenced_writer_appends_nothing_more);
    CPPUNIT_TEST(a_barrier_waits_for_all_that_was_written);
    CPPUNIT_TEST(a_value_that_the_log_does_not_take_holds_up_no_other);
    CPPUNIT_TEST(a_record_that_the_log_rejects_is_dropped_alone);
    CPPUNIT_TEST(a_barrier_waits_for_what_replaces_a_rejected_record);
    CPPUNIT_TEST_SUITE_END();

    sim_time time_;
    sim_store store_;
    sim_log log_{time_, store_, [] { return 0.5; }};
    std::vector<std::string> applied_;
    bool superseded_ = false;
    static constexpr std::size_t most_bytes = 1000;
    progress_writer writer_{time_.clock(),
                            log_,
                            lease_epoch(3),
                            record_limits(most_bytes),
                            [this](const stored_record& record) { applied_.push_back(record.key); },
                            [this] { superseded_ = true; }};

    void run_for(duration span) {
        for (duration passed{}; passed < span; passed += milliseconds(5)) {
            writer_.tick();
            time_.run_for(milliseconds(5));
        }
    }
    std::size_t stored() { return store_.of(cell_stream::progress).records.size(); }

public:
    /// Guards against a record that the log refuses for good, behind which all others wait, and
    /// against a value that reaches the log as a removal.
    void a_value_that_the_log_does_not_take_holds_up_no_other() {
        CPPUNIT_ASSERT(!writer_.put("p1", std::string(most_bytes, 'v')));
        CPPUNIT_ASSERT(!writer_.put("p2", ""));
        CPPUNIT_ASSERT(!writer_.put("p" + std::string(255, 'k'), "v"));
        CPPUNIT_ASSERT(writer_.put("p3", std::string(most_bytes - 3, 'v')));
        run_for(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stored());
        CPPUNIT_ASSERT_EQUAL(std::string("p3"), applied_.front());
    }
    /// Guards against a record that the log rejects although it is within the configured limit:
    /// all later records waited behind it.
    void a_record_that_the_log_rejects_is_dropped_alone() {
        constexpr int records = 600;
        constexpr int large = 250;
        store_.max_record_bytes = most_bytes / 2;
        std::string rejected;
        bool large_stored = false;
        bool next_stored = false;
        writer_.on_rejected([&](const stored_record& record) {
            rejected += record.key;
            return true;
        });
        for (int index = 0; index < records; ++index) {
            const std::string key = "p" + std::to_string(index);
            if (index == large)
                writer_.put(key, std::string(most_bytes / 2, 'v'), [&] { large_stored = true; });
            else if (index == large + 1)
                writer_.put(key, "v", [&] { next_stored = true; });
            else
                writer_.put(key, "v");
        }
        run_for(seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::string("p250"), rejected);
        CPPUNIT_ASSERT(!large_stored && next_stored);
        CPPUNIT_ASSERT(writer_.is_idle() && !superseded_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{records - 1}, stored());
        CPPUNIT_ASSERT_EQUAL(std::size_t{records - 1}, applied_.size());
        CPPUNIT_ASSERT(store_.rejected <= 10);
    }
    /// Guards against an acknowledgement of ended runs before the log has what stands in for the
    /// record that it rejected: the next coordinator would run these tasks again.
    void a_barrier_waits_for_what_replaces_a_rejected_record() {
        store_.max_record_bytes = most_bytes / 2;
        writer_.on_rejected([&](const stored_record&) { return writer_.put("p1", "ended"); });
        bool passed = false;
        bool replaced_before = false;
        const auto check = [&] {
            passed = true;
            replaced_before = store_.of(cell_stream::progress).newest.contains("p1");
        };
        writer_.put("p1", std::string(most_bytes / 2, 'v'));
        writer_.put("p2", "v");
        writer_.barrier(check);
        run_for(seconds(1));
        CPPUNIT_ASSERT(passed && replaced_before);
    }
    void records_are_applied_in_order_and_once() {
        for (int index = 0; index < 1200; ++index)
            writer_.put("p" + std::to_string(index), "v");
        run_for(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1200}, applied_.size());
        CPPUNIT_ASSERT_EQUAL(std::string("p0"), applied_.front());
        CPPUNIT_ASSERT_EQUAL(std::string("p1199"), applied_.back());
        CPPUNIT_ASSERT(writer_.is_idle());
    }
    /// The log stores a batch and its answer is lost. The batch is sent again under the same
    /// sequence number; the log must answer as the first time and store it once.
    void a_batch_whose_answer_was_lost_takes_effect_once() {
        log_.lost_answers = 1;
        writer_.put("p1", "v");
        run_for(milliseconds(100));
        log_.lost_answers = 0;
        run_for(seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stored());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, applied_.size());
    }
    /// Guards against a lost answer that delays all later records until it times out, which is
    /// longer than the latency target of interactive jobs.
    void a_lost_answer_holds_up_what_follows_for_less_than_callers_notice() {
        constexpr duration latency_target = milliseconds(250);
        log_.lost_answers = 1;
        writer_.put("p1", "v");
        run_for(milliseconds(10));
        log_.lost_answers = 0;
        writer_.put("p2", "v");
        run_for(latency_target);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, stored());
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, applied_.size());
    }
    /// Guards against resends that lengthen the queue of a log that is slow.
    void a_log_that_became_slow_gets_few_repeats() {
        store_.service[cell_stream::progress] = milliseconds(300);
        const std::size_t batches = 10;
        for (std::size_t index = 0; index < batches; ++index) {
            writer_.put("p" + std::to_string(index), "v");
            run_for(milliseconds(2000));
        }
        CPPUNIT_ASSERT_EQUAL(batches, applied_.size());
        CPPUNIT_ASSERT(log_.appends <= batches + 2);
    }
    /// A coordinator freezes and its successor fences the stream. What the first one still writes
    /// must be refused, and it must learn that it is superseded.
    void a_fenced_writer_appends_nothing_more() {
        writer_.put("p1", "v");
        run_for(milliseconds(100));
        progress_writer next(
            time_.clock(), log_, lease_epoch(4), record_limits(most_bytes),
            [](const stored_record&) {}, [] {});
        bool fenced = false;
        next.fence([&fenced](std::uint64_t) { fenced = true; });
        time_.run_for(milliseconds(50));
        CPPUNIT_ASSERT(fenced);
        writer_.put("p2", "v");
        run_for(milliseconds(200));
        CPPUNIT_ASSERT(superseded_);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, stored());
    }
    void a_barrier_waits_for_all_that_was_written() {
        bool passed = false;
        log_.state = sim_log::way::refused;
        writer_.put("p1", "v");
        writer_.barrier([&passed] { passed = true; });
        run_for(seconds(1));
        CPPUNIT_ASSERT(!passed);
        log_.state = sim_log::way::open;
        run_for(seconds(1));
        CPPUNIT_ASSERT(passed);
        passed = false;
        writer_.barrier([&passed] { passed = true; });
        CPPUNIT_ASSERT(passed);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(progress_writer_test);

} // namespace
} // namespace figwinch::sim
