#include "entry/voter_roster.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace figwinch {
namespace {

using namespace std::chrono_literals;

/// A log that answers at once, or says that it is unavailable.
class fake_log final : public log_client {
public:
    void append(const stream_name&, std::string payload, append_callback done) override {
        if (!up) {
            done(make_error(result_code::log_unavailable, ""));
            return;
        }
        records.push_back(std::move(payload));
        done(log_offset(records.size()));
    }
    void read(const stream_name&, log_offset from, std::size_t, read_callback done) override {
        log_page page{first_kept, log_offset(records.size() + 1), {}};
        for (std::uint64_t at = std::max(from, first_kept).value(); at <= records.size(); ++at)
            page.records.push_back({log_offset(at), records[at - 1]});
        done(std::move(page));
    }

    bool up = true;
    log_offset first_kept{1};
    std::vector<std::string> records;
};

class voter_roster_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(voter_roster_test);
    CPPUNIT_TEST(the_first_entries_of_a_region_vote_at_once);
    CPPUNIT_TEST(a_restarted_entry_waits_for_the_window);
    CPPUNIT_TEST(a_replacement_waits_for_the_window);
    CPPUNIT_TEST(a_shortened_stream_proves_nothing);
    CPPUNIT_TEST(nobody_votes_unseen_before_the_roster_is_complete);
    CPPUNIT_TEST_SUITE_END();

    /// An entry of a region of three.
    struct entry {
        entry(log_client& log, const std::string& node, const std::string& run, instant now)
            : guard(settings(), node_id(node), incarnation_id(node + run), now),
              roster(log, guard, self(node, run), settings().voters) {
            roster.tick();
        }
        static dispatch_guard::settings settings() {
            dispatch_guard::settings with;
            with.voters = 3;
            return with;
        }
        static member self(const std::string& node, const std::string& run) {
            member one;
            one.node = node_id(node);
            one.incarnation = incarnation_id(node + run);
            return one;
        }
        dispatch_guard guard;
        voter_roster roster;
    };

    const instant start_{1h};
    const instant after_window_{1h + 62s};
    fake_log log_;

    void start_region() {
        for (const std::string node : {"a", "b", "c"})
            const entry joined(log_, node, "#1", start_);
    }

    void the_first_entries_of_a_region_vote_at_once() {
        for (const std::string node : {"a", "b", "c"})
            CPPUNIT_ASSERT(entry(log_, node, "#1", start_).guard.may_vote(start_));
    }

    // An entry grants a ticket's claim, is killed, and is back within a second with no memory of
    // it.
    void a_restarted_entry_waits_for_the_window() {
        const entry before(log_, "a", "#1", start_);
        const entry again(log_, "a", "#2", start_);
        CPPUNIT_ASSERT(!again.guard.may_vote(start_));
        CPPUNIT_ASSERT(again.guard.may_vote(after_window_));
    }

    // Two of three hosts are replaced. The new ones have forgotten nothing themselves, but with
    // them a majority can be had that misses the hosts which granted the first claim.
    void a_replacement_waits_for_the_window() {
        start_region();
        const entry replacement(log_, "d", "#1", start_);
        CPPUNIT_ASSERT(!replacement.guard.may_vote(start_));
        CPPUNIT_ASSERT(replacement.guard.may_vote(after_window_));
    }

    void a_shortened_stream_proves_nothing() {
        start_region();
        log_.first_kept = log_offset(4);
        const entry late(log_, "d", "#1", start_);
        CPPUNIT_ASSERT(!late.guard.may_vote(start_));
    }

    // The log is down when an entry starts. If it voted unseen and died, a later one would take
    // itself for one of the first.
    void nobody_votes_unseen_before_the_roster_is_complete() {
        log_.up = false;
        entry unseen(log_, "a", "#1", start_);
        CPPUNIT_ASSERT(!unseen.guard.may_vote(after_window_));
        unseen.roster.note_complete();
        CPPUNIT_ASSERT(!unseen.guard.may_vote(start_));
        CPPUNIT_ASSERT(unseen.guard.may_vote(after_window_));
        log_.up = true;
        unseen.roster.tick();
        CPPUNIT_ASSERT(unseen.roster.is_settled());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(voter_roster_test);

} // namespace
} // namespace figwinch
