#include "figwinch/simulation/sim_candidate.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <memory>

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class leader_election_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(leader_election_test);
    CPPUNIT_TEST(one_of_several_leads_at_once_when_nobody_ever_did);
    CPPUNIT_TEST(a_killed_coordinator_is_followed_within_two_and_a_half_seconds);
    CPPUNIT_TEST(a_resignation_is_followed_at_once);
    CPPUNIT_TEST(epochs_grow);
    CPPUNIT_TEST(a_coordinator_cut_off_from_the_log_gives_up_before_its_successor_may_rely_on_it);
    CPPUNIT_TEST(a_renewal_whose_answer_was_lost_continues_the_term);
    CPPUNIT_TEST(a_host_cut_off_from_the_log_claims_nothing);
    CPPUNIT_TEST(a_coordinator_that_starts_again_leads_at_once);
    CPPUNIT_TEST(a_coordinator_leads_again_at_once_after_a_log_outage);
    CPPUNIT_TEST(a_host_whose_second_claim_got_no_answer_reckons_with_its_first_term);
    CPPUNIT_TEST(a_host_that_finds_no_history_reckons_with_an_unknown_coordinator);
    CPPUNIT_TEST(a_host_that_finds_no_history_leaves_the_lead_to_a_live_coordinator);
    CPPUNIT_TEST(a_coordinator_before_unread_terms_is_not_the_predecessor);
    CPPUNIT_TEST(a_coordinator_with_unread_terms_in_between_is_not_the_predecessor);
    CPPUNIT_TEST(a_resignation_before_unread_terms_is_not_the_last_one);
    CPPUNIT_TEST(a_host_with_more_cpu_claims_first);
    CPPUNIT_TEST(unreadable_records_of_others_are_passed_over);
    CPPUNIT_TEST_SUITE_END();

    sim_time time_;
    sim_store store_;
    std::vector<std::unique_ptr<candidate>> hosts_;

    void start(std::size_t count) {
        for (std::size_t index = 0; index < count; ++index)
            hosts_.push_back(
                std::make_unique<candidate>(time_, store_, "h" + std::to_string(hosts_.size())));
    }
    std::size_t leaders() const {
        std::size_t count = 0;
        for (const auto& host : hosts_)
            count += host && host->election.is_leader() ? 1 : 0;
        return count;
    }
    std::size_t leader() const {
        for (std::size_t index = 0; index < hosts_.size(); ++index)
            if (hosts_[index] && hosts_[index]->election.is_leader())
                return index;
        CPPUNIT_FAIL("no host is coordinator");
        return 0;
    }

public:
    void one_of_several_leads_at_once_when_nobody_ever_did() {
        start(7);
        time_.run_for(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaders());
        time_.run_for(seconds(20));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaders());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{1}, hosts_[leader()]->election.epoch().value());
    }
    void a_killed_coordinator_is_followed_within_two_and_a_half_seconds() {
        start(3);
        time_.run_for(seconds(5));
        hosts_[leader()].reset();
        time_.run_for(milliseconds(2400));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaders());
        CPPUNIT_ASSERT(!hosts_[leader()]->election.predecessor_has_ended());
    }
    void a_resignation_is_followed_at_once() {
        start(3);
        time_.run_for(seconds(5));
        const std::size_t first = leader();
        hosts_[first]->election.resign();
        time_.run_for(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaders());
        CPPUNIT_ASSERT(leader() != first);
        CPPUNIT_ASSERT(hosts_[leader()]->election.predecessor_has_ended());
    }
    void epochs_grow() {
        start(3);
        std::uint64_t last = 0;
        for (int term = 0; term < 5; ++term) {
            time_.run_for(seconds(5));
            const std::size_t now = leader();
            CPPUNIT_ASSERT(hosts_[now]->election.epoch().value() > last);
            last = hosts_[now]->election.epoch().value();
            hosts_[now].reset();
            hosts_[now] =
                std::make_unique<candidate>(time_, store_, "again" + std::to_string(term));
        }
    }
    /// The coordinator loses the log while other hosts don't. It continues for a limited time,
    /// since the log may be unavailable to all; its successor counts on that limit, so the
    /// coordinator must stop by then.
    void a_coordinator_cut_off_from_the_log_gives_up_before_its_successor_may_rely_on_it() {
        start(3);
        time_.run_for(seconds(5));
        const std::size_t first = leader();
        hosts_[first]->log.state = sim_log::way::silent;
        time_.run_for(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, leaders());
        CPPUNIT_ASSERT(!hosts_[first]->election.is_confirmed());
        time_.run_for(max_unconfirmed_leadership);
        CPPUNIT_ASSERT(!hosts_[first]->election.is_leader());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaders());
    }
    /// A renewal is stored but its answer is lost. The next renewal finds that the stream's end has
    /// moved; the host must recognise its own record and stay coordinator.
    void a_renewal_whose_answer_was_lost_continues_the_term() {
        start(1);
        time_.run_for(seconds(2));
        const std::uint64_t epoch = hosts_[0]->election.epoch().value();
        hosts_[0]->log.lost_answers = 1;
        time_.run_for(milliseconds(900));
        hosts_[0]->log.lost_answers = 0;
        time_.run_for(seconds(3));
        CPPUNIT_ASSERT(hosts_[0]->election.is_confirmed());
        CPPUNIT_ASSERT_EQUAL(epoch, hosts_[0]->election.epoch().value());
    }
    void a_host_cut_off_from_the_log_claims_nothing() {
        start(2);
        time_.run_for(seconds(3));
        const std::size_t first = leader();
        hosts_[1 - first]->log.state = sim_log::way::refused;
        time_.run_for(seconds(10));
        CPPUNIT_ASSERT_EQUAL(first, leader());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaders());
    }
    /// All hosts lose power and restart. The host that was coordinator finds the term held by its
    /// own previous incarnation, which has ended, so it must claim without waiting for renewals.
    void a_coordinator_that_starts_again_leads_at_once() {
        for (const char* const name : {"h0#1", "h1#1", "h2#1"})
            hosts_.push_back(std::make_unique<candidate>(time_, store_, name));
        time_.run_for(seconds(5));
        const std::size_t first = leader();
        for (auto& host : hosts_)
            host.reset();
        time_.run_for(seconds(1));
        for (std::size_t index = 0; index < 3; ++index)
            hosts_[index] =
                std::make_unique<candidate>(time_, store_, "h" + std::to_string(index) + "#2");
        time_.run_for(milliseconds(100));
        CPPUNIT_ASSERT_EQUAL(first, leader());
        CPPUNIT_ASSERT(hosts_[first]->election.predecessor_has_ended());
    }
    /// The log is unavailable to all hosts for longer than a coordinator may act without it. When
    /// it is back, the previous coordinator must claim at once, since it knows that its term has
    /// expired; other hosts would first wait for renewals that never come.
    void a_coordinator_leads_again_at_once_after_a_log_outage() {
        start(3);
        time_.run_for(seconds(2));
        for (const auto& host : hosts_)
            host->log.state = sim_log::way::silent;
        time_.run_for(seconds(7));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, leaders());
        for (const auto& host : hosts_)
            host->log.state = sim_log::way::open;
        // One call in flight until its timeout, and the retry delay after it.
        time_.run_for(milliseconds(1050));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaders());
    }
    /// On a host with an eighth of a core the coordinator of a large cell falls behind, reads
    /// answers after their timeouts and no longer handles cancellations. Hosts with more CPU must
    /// claim first.
    /// Guards against a coordinator that gives up its own workers' runs at once: it leads again
    /// after an outage of the log and learns of its claim by reading it.
    void a_host_whose_second_claim_got_no_answer_reckons_with_its_first_term() {
        start(1);
        time_.run_for(seconds(5));
        candidate& host = *hosts_.front();
        const instant renewed = host.election.confirmed_at();
        host.log.state = sim_log::way::refused;
        time_.run_for(seconds(6));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, leaders());
        host.log.state = sim_log::way::open;
        host.log.lost_answers = 1;
        time_.run_for(seconds(2));
        host.log.lost_answers = 0;
        time_.run_for(seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaders());
        CPPUNIT_ASSERT(host.election.predecessors_acted_until() >=
                       renewed + max_unconfirmed_leadership);
        CPPUNIT_ASSERT(host.election.predecessors_renewed_leases_until() >=
                       renewed + full_renewal_limit);
    }
    /// Guards against a new process that takes a discarded history for one without coordinators.
    void a_host_that_finds_no_history_reckons_with_an_unknown_coordinator() {
        start(1);
        time_.run_for(seconds(5));
        const instant renewed = hosts_.front()->election.confirmed_at();
        hosts_.front()->log.state = sim_log::way::refused;
        store_.compact(cell_stream::reigns);
        start(1);
        time_.run_for(seconds(4));
        CPPUNIT_ASSERT(hosts_.back()->election.is_leader());
        CPPUNIT_ASSERT(hosts_.back()->election.predecessors_acted_until() >=
                       renewed + max_unconfirmed_leadership);
        CPPUNIT_ASSERT(hosts_.back()->election.predecessors_renewed_leases_until() >=
                       renewed + full_renewal_limit);
    }
    /// Guards against a claim beside a coordinator whose records were discarded a moment ago.
    void a_host_that_finds_no_history_leaves_the_lead_to_a_live_coordinator() {
        start(1);
        time_.run_for(seconds(5));
        const lease_epoch epoch = hosts_.front()->election.epoch();
        for (int round = 0; round < 10; ++round) {
            store_.compact(cell_stream::reigns);
            start(1);
            time_.run_for(milliseconds(330));
        }
        CPPUNIT_ASSERT(hosts_.front()->election.is_leader());
        CPPUNIT_ASSERT(hosts_.front()->election.epoch() == epoch);
    }
    /// Guards against the account of an earlier coordinator being taken for that of the last one.
    void a_coordinator_before_unread_terms_is_not_the_predecessor() {
        start(2);
        time_.run_for(seconds(5));
        const std::size_t first = leader();
        candidate& other = *hosts_[1 - first];
        other.log.state = sim_log::way::refused;
        hosts_[first].reset();
        start(1);
        time_.run_for(seconds(5));
        CPPUNIT_ASSERT(hosts_.back()->election.is_leader());
        hosts_.back().reset();
        store_.compact(cell_stream::reigns);
        other.log.state = sim_log::way::open;
        time_.run_for(seconds(5));
        CPPUNIT_ASSERT(other.election.is_leader());
        CPPUNIT_ASSERT(!other.election.predecessor());
    }
    /// Guards against the account of a coordinator that resigned being taken for that of the last
    /// one, which came after it and is unread.
    void a_resignation_before_unread_terms_is_not_the_last_one() {
        start(2);
        time_.run_for(seconds(5));
        const std::size_t first = leader();
        candidate& other = *hosts_[1 - first];
        other.election.set_candidate(false);
        hosts_[first]->election.resign("account");
        time_.run_for(seconds(1));
        other.log.state = sim_log::way::refused;
        hosts_[first].reset();
        start(1);
        time_.run_for(seconds(5));
        CPPUNIT_ASSERT(hosts_.back()->election.is_leader());
        hosts_.back().reset();
        store_.compact(cell_stream::reigns);
        other.log.state = sim_log::way::open;
        other.election.set_candidate(true);
        time_.run_for(seconds(5));
        CPPUNIT_ASSERT(other.election.is_leader());
        CPPUNIT_ASSERT(!other.election.resigned_predecessor());
    }
    /// Guards against the account of a coordinator's earlier term being taken for that of its last
    /// one, before which another host was coordinator.
    void a_coordinator_with_unread_terms_in_between_is_not_the_predecessor() {
        start(2);
        time_.run_for(seconds(5));
        const std::size_t first = leader();
        candidate& other = *hosts_[1 - first];
        other.log.state = sim_log::way::refused;
        hosts_[first]->log.state = sim_log::way::refused;
        start(1);
        time_.run_for(seconds(10));
        CPPUNIT_ASSERT(hosts_.back()->election.is_leader());
        hosts_.back().reset();
        hosts_[first]->log.state = sim_log::way::open;
        time_.run_for(seconds(5));
        CPPUNIT_ASSERT(hosts_[first]->election.is_leader());
        store_.compact(cell_stream::reigns);
        other.log.state = sim_log::way::open;
        time_.run_for(seconds(3));
        hosts_[first].reset();
        time_.run_for(seconds(5));
        CPPUNIT_ASSERT(other.election.is_leader());
        CPPUNIT_ASSERT(!other.election.predecessor());
    }
    void a_host_with_more_cpu_claims_first() {
        for (const double share : {0.12, 0.2, 0.5, 0.12})
            hosts_.push_back(std::make_unique<candidate>(
                time_, store_, "h" + std::to_string(hosts_.size()), claim_delay_for(share)));
        time_.run_for(seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, leader());
        hosts_[2].reset();
        time_.run_for(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leader());
        hosts_[1].reset();
        time_.run_for(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaders());
    }
    void unreadable_records_of_others_are_passed_over() {
        store_.append(cell_stream::reigns, {{"", "\xff\xff not protobuf", 0}}, {});
        start(2);
        time_.run_for(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaders());
        store_.append(cell_stream::reigns, {{"", std::string(300, '\xfe'), 0}}, {});
        time_.run_for(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, leaders());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(leader_election_test);

} // namespace
} // namespace figwinch::sim
