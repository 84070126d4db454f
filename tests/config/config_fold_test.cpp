#include "figwinch/config.h"
#include "tests/config/config_records.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

namespace figwinch {
namespace {

class config_fold_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(config_fold_test);
    CPPUNIT_TEST(of_two_changes_on_one_base_the_first_in_the_log_wins);
    CPPUNIT_TEST(a_second_append_of_a_change_folds_to_nothing);
    CPPUNIT_TEST(a_change_from_a_future_base_is_never_accepted_later);
    CPPUNIT_TEST(an_invalid_record_changes_nothing);
    CPPUNIT_TEST(an_old_snapshot_never_takes_the_view_back);
    CPPUNIT_TEST(a_change_between_a_snapshot_and_its_record_is_not_lost);
    CPPUNIT_TEST(a_newcomer_forgets_the_same_changes_as_the_others);
    CPPUNIT_TEST_SUITE_END();

    config_fold fold_;
    std::uint64_t next_ = 1;

    fold_outcome append(const std::string& record) {
        return fold_.fold(log_offset(next_++), record);
    }
    void begin() { append(replace_record("first", 0, sample_manifest())); }

    // Two operators take different data centres out at the same moment, each from version 1. The
    // log orders them; every process has to pick the same one, and the loser has to be told who
    // won.
    void of_two_changes_on_one_base_the_first_in_the_log_wins() {
        begin();
        const fold_outcome won = append(state_record("one", 1, "a", "out"));
        const fold_outcome lost = append(state_record("two", 1, "b", "out"));
        CPPUNIT_ASSERT(won.result == fold_result::accepted);
        CPPUNIT_ASSERT(lost.result == fold_result::refused);
        CPPUNIT_ASSERT(lost.code == result_code::manifest_stale_base);
        CPPUNIT_ASSERT_EQUAL(record_id("one"), lost.winner);
        CPPUNIT_ASSERT_EQUAL(config_version(2), fold_.version());
        CPPUNIT_ASSERT(!is_in_service(*fold_.current(), "a"));
        CPPUNIT_ASSERT(is_in_service(*fold_.current(), "b"));
    }

    // The acknowledgement of an append is lost and the sender appends the record again.
    void a_second_append_of_a_change_folds_to_nothing() {
        begin();
        append(state_record("one", 1, "a", "out"));
        const fold_outcome again = append(state_record("one", 1, "a", "out"));
        CPPUNIT_ASSERT(again.result == fold_result::duplicate);
        CPPUNIT_ASSERT_EQUAL(config_version(2), again.to);
        CPPUNIT_ASSERT_EQUAL(config_version(2), fold_.version());
    }

    // A change names version 2 while 1 is in force and is refused, and its sender is told so. Its
    // second append arrives when 2 is in force: accepting it would make the answer a lie.
    void a_change_from_a_future_base_is_never_accepted_later() {
        begin();
        CPPUNIT_ASSERT(append(state_record("early", 2, "b", "out")).result == fold_result::refused);
        append(state_record("one", 1, "a", "out"));
        CPPUNIT_ASSERT(append(state_record("early", 2, "b", "out")).result ==
                       fold_result::duplicate);
        CPPUNIT_ASSERT(is_in_service(*fold_.current(), "b"));
    }

    void an_invalid_record_changes_nothing() {
        begin();
        manifest broken = sample_manifest();
        broken.jobs.front().customer = customer_id("nobody");
        const fold_outcome dangling = append(replace_record("bad", 1, broken));
        CPPUNIT_ASSERT(dangling.code == result_code::manifest_dangling_name);
        CPPUNIT_ASSERT(append("\xff\xff garbage").code == result_code::manifest_malformed);
        CPPUNIT_ASSERT(append("").code == result_code::manifest_malformed);
        CPPUNIT_ASSERT_EQUAL(config_version(1), fold_.version());
        CPPUNIT_ASSERT_EQUAL(log_offset(4), fold_.offset());
    }

    // A slow peer, asked before the drain, answers after it with the version before it. Taken over,
    // it would put the drained data centre back into service.
    void an_old_snapshot_never_takes_the_view_back() {
        begin();
        const std::string old = fold_.snapshot();
        const std::string old_record = fold_.snapshot_record({});
        append(state_record("drain", 1, "a", "out"));
        CPPUNIT_ASSERT(!fold_.take_over(old));
        CPPUNIT_ASSERT(!fold_.take_over_record(old_record));
        CPPUNIT_ASSERT(append(old_record).result == fold_result::snapshot);
        CPPUNIT_ASSERT_EQUAL(config_version(2), fold_.version());
        CPPUNIT_ASSERT(!is_in_service(*fold_.current(), "a"));
    }

    // A process composes a snapshot of version 1, a drain is accepted as version 2, then the
    // snapshot's record lands behind it. A host that starts from the snapshot has to fold the drain
    // too, though its record is older than the snapshot's.
    void a_change_between_a_snapshot_and_its_record_is_not_lost() {
        begin();
        const std::string snapshot = fold_.snapshot_record({});
        const std::string drain = state_record("drain", 1, "a", "out");
        append(drain);
        append(snapshot);
        CPPUNIT_ASSERT(config_fold::is_usable_snapshot(snapshot, log_offset(2)));
        CPPUNIT_ASSERT(!config_fold::is_usable_snapshot(snapshot, log_offset(3)));
        config_fold newcomer;
        CPPUNIT_ASSERT(newcomer.take_over_record(snapshot));
        newcomer.fold(log_offset(2), drain);
        newcomer.fold(log_offset(3), snapshot);
        CPPUNIT_ASSERT(fold_.snapshot() == newcomer.snapshot());
    }

    // More changes are judged than a process remembers. Were the memory not part of the snapshot, a
    // newcomer would accept a late duplicate that all others refuse.
    void a_newcomer_forgets_the_same_changes_as_the_others() {
        begin();
        for (int i = 0; i < 1500; ++i)
            append(state_record("refused" + std::to_string(i), 2, "b", "out"));
        config_fold newcomer;
        CPPUNIT_ASSERT(newcomer.take_over(fold_.snapshot()));
        append(state_record("one", 1, "a", "out"));
        newcomer.fold(fold_.offset(), state_record("one", 1, "a", "out"));
        for (const int i : {0, 475, 476, 1499}) {
            const std::string late = state_record("refused" + std::to_string(i), 2, "b", "out");
            const fold_outcome here = append(late);
            const fold_outcome there = newcomer.fold(fold_.offset(), late);
            CPPUNIT_ASSERT(here.result == there.result);
        }
        CPPUNIT_ASSERT(fold_.snapshot() == newcomer.snapshot());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_fold_test);

} // namespace
} // namespace figwinch
