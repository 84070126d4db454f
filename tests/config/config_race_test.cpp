#include "figwinch/config.h"
#include "tests/config/config_records.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace figwinch {
namespace {

/// What one process made of the race.
struct race_view {
    std::string snapshot;
    std::map<record_id, fold_outcome> first_outcomes;
};

void fold_into(config_fold& fold, std::uint64_t offset, const std::string& record,
               race_view& view) {
    const fold_outcome outcome = fold.fold(log_offset(offset), record);
    if (outcome.result == fold_result::accepted || outcome.result == fold_result::refused)
        view.first_outcomes.emplace(outcome.change, outcome);
}

class config_race_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(config_race_test);
    CPPUNIT_TEST(every_process_picks_the_same_winner_in_every_order);
    CPPUNIT_TEST_SUITE_END();

    const std::string first_ = replace_record("first", 0, sample_manifest());

    /// Folds the whole log, then again in a process that takes over the state at every offset.
    void check_order(const std::vector<std::string>& log) {
        config_fold fold;
        race_view whole;
        std::vector<std::string> states;
        for (std::size_t i = 0; i < log.size(); ++i) {
            fold_into(fold, i + 1, log[i], whole);
            states.push_back(fold.snapshot());
        }
        whole.snapshot = fold.snapshot();
        check_outcomes(whole);
        for (std::size_t from = 0; from < states.size(); ++from) {
            config_fold newcomer;
            race_view view;
            CPPUNIT_ASSERT(newcomer.take_over(states[from]));
            for (std::size_t i = 0; i < log.size(); ++i)
                fold_into(newcomer, i + 1, log[i], view);
            CPPUNIT_ASSERT(newcomer.snapshot() == whole.snapshot);
            for (const auto& [id, outcome] : view.first_outcomes) {
                const fold_outcome& expected = whole.first_outcomes.at(id);
                CPPUNIT_ASSERT(outcome.result == expected.result);
                CPPUNIT_ASSERT(outcome.winner == expected.winner);
                CPPUNIT_ASSERT(outcome.to == expected.to);
            }
        }
    }

    void check_outcomes(const race_view& view) {
        const fold_outcome& one = view.first_outcomes.at(record_id("one"));
        const fold_outcome& two = view.first_outcomes.at(record_id("two"));
        CPPUNIT_ASSERT((one.result == fold_result::accepted) !=
                       (two.result == fold_result::accepted));
        const fold_outcome& lost = one.result == fold_result::accepted ? two : one;
        const fold_outcome& won = one.result == fold_result::accepted ? one : two;
        CPPUNIT_ASSERT(lost.code == result_code::manifest_stale_base);
        CPPUNIT_ASSERT_EQUAL(won.change, lost.winner);
    }

    // Two operators change version 1 in the same moment, both lose their acknowledgement and append
    // again, and a process that saw only version 1 appends its snapshot in between. Whatever the
    // order in the log, and wherever a process begins to read, all see one winner.
    void every_process_picks_the_same_winner_in_every_order() {
        config_fold early;
        early.fold(log_offset(1), first_);
        std::vector<std::string> race = {
            state_record("one", 1, "a", "out"), state_record("one", 1, "a", "out"),
            state_record("two", 1, "b", "out"), state_record("two", 1, "b", "out"),
            early.snapshot_record({})};
        std::ranges::sort(race);
        int orders = 0;
        do {
            std::vector<std::string> log = {first_};
            log.insert(log.end(), race.begin(), race.end());
            check_order(log);
            ++orders;
        } while (std::next_permutation(race.begin(), race.end()));
        CPPUNIT_ASSERT_EQUAL(30, orders);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(config_race_test);

} // namespace
} // namespace figwinch
