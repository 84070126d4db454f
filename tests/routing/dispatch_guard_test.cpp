#include "figwinch/routing.h"
#include "tests/routing/claim_network.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <string>

namespace figwinch {
namespace {

using namespace std::chrono_literals;

class dispatch_guard_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(dispatch_guard_test);
    CPPUNIT_TEST(no_history_runs_a_request_twice_or_denies_a_run);
    CPPUNIT_TEST(a_woken_entry_may_not_use_its_old_claim);
    CPPUNIT_TEST(a_restarted_entry_does_not_vouch);
    CPPUNIT_TEST(a_delayed_release_does_not_free_a_later_claim);
    CPPUNIT_TEST(more_entries_than_the_settings_say_need_a_larger_majority);
    CPPUNIT_TEST(a_full_memory_refuses_rather_than_forgets);
    CPPUNIT_TEST(a_cut_off_entry_runs_first_sends_only);
    CPPUNIT_TEST_SUITE_END();

    const claim_key key_ = claim_key::of(customer_id("lugo"), request_id("ticket-1"));
    const node_id a_{"a"};
    const node_id b_{"b"};
    const incarnation_id b1_{"b#1"};
    manual_clock time_;

    dispatch_guard guard(std::size_t voters, std::size_t records = 1000) const {
        dispatch_guard::settings with;
        with.voters = voters;
        with.max_records = records;
        dispatch_guard made(with, a_, incarnation_id("a#1"), time_.now());
        made.vote_at_once();
        return made;
    }

    // A clerk's answer is lost and the clerk sends the ticket again, through other entries, while
    // entries crash, restart, freeze and are cut off. If any two entries ran it, the sawmill would
    // be billed twice; if any said "not run" of one that ran, a second ticket would be issued.
    void no_history_runs_a_request_twice_or_denies_a_run() {
        constexpr std::uint64_t histories = 12'000;
        constexpr std::uint64_t first_seed = 20'261'203;
        claim_network::outcome total;
        for (std::uint64_t seed = first_seed; seed < first_seed + histories; ++seed) {
            const claim_network::outcome one = claim_network(seed).run();
            const std::string where = "seed " + std::to_string(seed);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(where, 0, one.second_runs);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(where, 0, one.false_not_run);
            total.sends += one.sends;
            total.runs += one.runs;
            total.not_run_answers += one.not_run_answers;
        }
        std::cout << " seeds " << first_seed << " to " << first_seed + histories - 1 << ": "
                  << total.sends << " sends, " << total.runs << " runs, " << total.not_run_answers
                  << " answers \"not run\" ";
        CPPUNIT_ASSERT(total.runs > total.sends / 10);
        CPPUNIT_ASSERT(total.not_run_answers > total.sends / 20);
    }

    // An entry is stopped (SIGSTOP) between its claim and its dispatch. The grants lapse elsewhere,
    // another entry runs the request, and the first wakes with a claim that looks valid.
    void a_woken_entry_may_not_use_its_old_claim() {
        dispatch_guard woken = guard(1);
        const claim_progress claim = woken.begin(key_, send_mark::unmarked, 0, time_.now());
        CPPUNIT_ASSERT(claim.state == claim_state::granted);
        time_.advance(20s + 1us);
        CPPUNIT_ASSERT(!woken.use(key_, claim.sequence, time_.now()));
        CPPUNIT_ASSERT(!woken.release(key_, claim.sequence, time_.now()));
    }

    // An entry grants a claim, is killed and started again. It no longer knows of the grant, and
    // would give the same id to a second claimant.
    void a_restarted_entry_does_not_vouch() {
        dispatch_guard::settings with;
        dispatch_guard restarted(with, a_, incarnation_id("a#2"), time_.now());
        CPPUNIT_ASSERT(restarted.vote(key_, b1_, 1, time_.now()).kind == vote_kind::abstained);
        time_.advance(with.window);
        CPPUNIT_ASSERT(restarted.vote(key_, b1_, 1, time_.now()).kind == vote_kind::abstained);
        time_.advance(with.window / 50);
        CPPUNIT_ASSERT(restarted.vote(key_, b1_, 1, time_.now()).kind == vote_kind::granted);
    }

    // An entry gives a claim up, claims the id again and runs it; the release of the first claim is
    // delayed on its way and arrives last.
    void a_delayed_release_does_not_free_a_later_claim() {
        dispatch_guard voter = guard(3);
        CPPUNIT_ASSERT(voter.vote(key_, b1_, 1, time_.now()).kind == vote_kind::granted);
        CPPUNIT_ASSERT(voter.vote(key_, b1_, 2, time_.now()).kind == vote_kind::granted);
        voter.note_released(key_, b1_, 1);
        const incarnation_id other("c#1");
        CPPUNIT_ASSERT(voter.vote(key_, other, 1, time_.now()).kind == vote_kind::denied);
        voter.note_released(key_, b1_, 2);
        CPPUNIT_ASSERT(voter.vote(key_, other, 1, time_.now()).kind == vote_kind::granted);
    }

    // Two hosts were replaced while the settings still say three, and an old one is back: a
    // majority of three would miss another majority of three among four.
    void more_entries_than_the_settings_say_need_a_larger_majority() {
        dispatch_guard one = guard(3);
        const claim_progress claim = one.begin(key_, send_mark::unmarked, 3, time_.now());
        const claim_vote grant{vote_kind::granted, {}, false};
        CPPUNIT_ASSERT(one.note_vote(key_, claim.sequence, b_, grant).state ==
                       claim_state::pending);
        CPPUNIT_ASSERT(one.note_vote(key_, claim.sequence, node_id("c"), grant).state ==
                       claim_state::granted);
    }

    void a_full_memory_refuses_rather_than_forgets() {
        dispatch_guard small = guard(1, 1);
        CPPUNIT_ASSERT(small.vote(key_, b1_, 1, time_.now()).kind == vote_kind::granted);
        const claim_key other = claim_key::of(customer_id("lugo"), request_id("ticket-2"));
        CPPUNIT_ASSERT(small.vote(other, b1_, 2, time_.now()).kind == vote_kind::abstained);
        CPPUNIT_ASSERT(small.begin(other, send_mark::unmarked, 0, time_.now()).state ==
                       claim_state::no_quorum);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, small.records());
        time_.advance(60s);
        CPPUNIT_ASSERT(small.vote(other, b1_, 2, time_.now()).kind == vote_kind::granted);
    }

    // A log yard is cut off from the others. Tickets that are marked as sent for the first time are
    // still issued; one that may have been issued elsewhere is not.
    void a_cut_off_entry_runs_first_sends_only() {
        dispatch_guard alone = guard(3);
        const claim_progress first = alone.begin(key_, send_mark::first, 1, time_.now());
        CPPUNIT_ASSERT(first.state == claim_state::pending);
        CPPUNIT_ASSERT(alone.note_silence(key_, first.sequence).state == claim_state::granted);
        CPPUNIT_ASSERT(alone.use(key_, first.sequence, time_.now()));
        const claim_key other = claim_key::of(customer_id("lugo"), request_id("ticket-2"));
        const claim_progress again = alone.begin(other, send_mark::resend, 1, time_.now());
        CPPUNIT_ASSERT(alone.note_silence(other, again.sequence).state == claim_state::no_quorum);
        CPPUNIT_ASSERT(alone.vote(key_, b1_, 1, time_.now()).dispatched);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(dispatch_guard_test);

} // namespace
} // namespace figwinch
