#include "figwinch/simulation/sim_candidate.h"
#include "tests/cell/cell_world.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <memory>
#include <vector>

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Enough for the calls of the resigning host, the successor's read of the resignation and its
/// claim.
constexpr duration at_once = milliseconds(100);
constexpr duration renewal_period = election_timing{}.renewal_interval;
constexpr duration retry_period = election_timing{}.retry_delay;

std::string text_of(duration phase) {
    return std::to_string(std::chrono::duration_cast<milliseconds>(phase).count()) + " ms";
}

/// A cell of hosts that may become coordinator; the first to start is elected.
class cell_of_candidates {
public:
    explicit cell_of_candidates(duration call_time = milliseconds(4)) : call_time_(call_time) {}

    candidate& add(duration claim_delay = {}) {
        hosts_.push_back(std::make_unique<candidate>(
            time, store, "h" + std::to_string(hosts_.size()), claim_delay));
        hosts_.back()->log.delay = call_time_;
        return *hosts_.back();
    }
    /// The number of records of a kind from an offset on.
    long count(election_record::kind type, std::uint64_t from = 0) {
        return std::ranges::count_if(
            store.of(cell_stream::reigns).records, [&](const stored_record& record) {
                const auto read = decode_election_record(record.value.value_or(""));
                return record.offset >= from && read && read->type == type;
            });
    }
    std::uint64_t end() { return store.of(cell_stream::reigns).end(); }

    sim_time time;
    sim_store store;

private:
    duration call_time_;
    std::vector<std::unique_ptr<candidate>> hosts_;
};

/// In a rolling restart the coordinator resigns through the log. If the resignation is lost,
/// because a renewal in flight has moved the stream's end or because the store refuses or doesn't
/// answer, callers wait until three renewals are missed, and the leases of unreachable workers
/// count 5 s longer.
class resignation_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(resignation_test);
    CPPUNIT_TEST(a_resignation_beside_a_renewal_is_followed_at_once);
    CPPUNIT_TEST(a_resignation_that_was_refused_is_followed_at_once);
    CPPUNIT_TEST(a_resignation_that_got_no_answer_is_followed_at_once);
    CPPUNIT_TEST(a_host_that_resigns_while_it_claims_is_followed_at_once);
    CPPUNIT_TEST(a_host_that_resigns_with_its_claim_in_doubt_is_followed_before_it_is_missed);
    CPPUNIT_TEST(a_resignation_whose_answer_was_lost_is_written_once);
    CPPUNIT_TEST(a_late_resignation_ends_nobody_elses_term);
    CPPUNIT_TEST(a_host_that_has_resigned_orders_nothing_while_it_tries);
    CPPUNIT_TEST(a_resignation_whose_account_the_log_rejects_is_followed_at_once);
    CPPUNIT_TEST(an_account_of_many_workers_keeps_to_its_limit);
    CPPUNIT_TEST_SUITE_END();

    /// The coordinator resigns while its connection to the store is in this state, for less than a
    /// retry delay.
    static void resign_while(sim_log::way state) {
        cell_of_candidates cell;
        candidate& first = cell.add();
        cell.time.run_for(seconds(1));
        candidate& second = cell.add();
        cell.time.run_for(seconds(2));
        CPPUNIT_ASSERT(first.election.is_leader());
        first.log.state = state;
        first.election.resign();
        cell.time.run_for(retry_period / 3);
        first.log.state = sim_log::way::open;
        cell.time.run_for(retry_period + at_once);
        CPPUNIT_ASSERT(!first.election.is_leader());
        CPPUNIT_ASSERT(second.election.is_leader());
        CPPUNIT_ASSERT(second.election.predecessor_has_ended());
        CPPUNIT_ASSERT_EQUAL(1L, cell.count(election_record::kind::resignation));
    }

public:
    void a_resignation_beside_a_renewal_is_followed_at_once() {
        long raced = 0;
        for (duration phase{}; phase < renewal_period; phase += milliseconds(2)) {
            cell_of_candidates cell(milliseconds(10));
            candidate& first = cell.add();
            cell.time.run_for(seconds(1));
            candidate& second = cell.add();
            cell.time.run_for(seconds(2) + phase);
            CPPUNIT_ASSERT(first.election.is_leader());
            const std::uint64_t resigned_at = cell.end();
            first.election.resign();
            cell.time.run_for(at_once);
            raced += cell.count(election_record::kind::renewal, resigned_at);
            CPPUNIT_ASSERT(!first.election.is_leader());
            CPPUNIT_ASSERT_MESSAGE(text_of(phase), second.election.is_leader());
            CPPUNIT_ASSERT_MESSAGE(text_of(phase), second.election.predecessor_has_ended());
        }
        // Guards against a test in which no renewal was in flight at any of the resignations.
        CPPUNIT_ASSERT(raced > 0);
    }
    void a_resignation_that_was_refused_is_followed_at_once() {
        resign_while(sim_log::way::refused);
    }
    void a_resignation_that_got_no_answer_is_followed_at_once() {
        resign_while(sim_log::way::silent);
    }
    /// The host that has just claimed is the next to be restarted. Its claim is stored after it has
    /// resigned, so that the log shows a term without a coordinator.
    void a_host_that_resigns_while_it_claims_is_followed_at_once() {
        constexpr duration claim_delay = milliseconds(300);
        long raced = 0;
        for (duration phase{}; phase < milliseconds(60); phase += milliseconds(2)) {
            cell_of_candidates cell(milliseconds(10));
            candidate& first = cell.add();
            cell.time.run_for(seconds(1));
            candidate& second = cell.add();
            candidate& third = cell.add(claim_delay);
            cell.time.run_for(seconds(2));
            CPPUNIT_ASSERT(first.election.is_leader());
            first.election.resign();
            cell.time.run_for(phase);
            const bool led = second.election.is_leader();
            const std::uint64_t resigned_at = cell.end();
            second.election.resign();
            cell.time.run_for(claim_delay + 2 * at_once);
            if (!led)
                raced += cell.count(election_record::kind::claim, resigned_at) - 1;
            CPPUNIT_ASSERT(!second.election.is_leader());
            CPPUNIT_ASSERT_MESSAGE(text_of(phase), third.election.is_leader());
            CPPUNIT_ASSERT_MESSAGE(text_of(phase), third.election.predecessor_has_ended());
        }
        CPPUNIT_ASSERT(raced > 0);
    }
    /// As before, but the answer to the claim is lost too. The host learns from the log that it
    /// holds the term, and must resign before the others have missed three renewals.
    void a_host_that_resigns_with_its_claim_in_doubt_is_followed_before_it_is_missed() {
        cell_of_candidates cell;
        candidate& first = cell.add();
        cell.time.run_for(seconds(1));
        candidate& second = cell.add();
        constexpr duration claim_delay = milliseconds(300);
        candidate& third = cell.add(claim_delay);
        cell.time.run_for(seconds(2));
        second.log.lost_answers = 1;
        first.election.resign();
        cell.time.run_for(at_once);
        CPPUNIT_ASSERT_EQUAL(2L, cell.count(election_record::kind::claim));
        CPPUNIT_ASSERT(!second.election.is_leader());
        second.log.lost_answers = 0;
        second.election.resign();
        cell.time.run_for(election_timing{}.takeover_timeout - at_once);
        CPPUNIT_ASSERT_EQUAL(2L, cell.count(election_record::kind::resignation));
        cell.time.run_for(claim_delay + at_once);
        CPPUNIT_ASSERT(!second.election.is_leader());
        CPPUNIT_ASSERT(third.election.is_leader());
        CPPUNIT_ASSERT(third.election.predecessor_has_ended());
    }
    /// The resignation is stored but its answer is lost. A second one after the successor's claim
    /// would end the successor's term.
    void a_resignation_whose_answer_was_lost_is_written_once() {
        cell_of_candidates cell;
        candidate& first = cell.add();
        cell.time.run_for(seconds(1));
        candidate& second = cell.add();
        cell.time.run_for(seconds(2));
        first.log.lost_answers = 1;
        first.election.resign();
        cell.time.run_for(at_once);
        CPPUNIT_ASSERT(second.election.is_leader());
        CPPUNIT_ASSERT(second.election.predecessor_has_ended());
        cell.time.run_for(seconds(5));
        CPPUNIT_ASSERT_EQUAL(1L, cell.count(election_record::kind::resignation));
        CPPUNIT_ASSERT(second.election.is_leader());
    }
    /// The coordinator resigns while it can't reach the store. Its successor claims after the
    /// missed renewals; a resignation that the first host writes after its return must not end the
    /// successor's term.
    void a_late_resignation_ends_nobody_elses_term() {
        for (const auto state : {sim_log::way::refused, sim_log::way::silent}) {
            cell_of_candidates cell;
            candidate& first = cell.add();
            cell.time.run_for(seconds(1));
            candidate& second = cell.add();
            cell.time.run_for(seconds(2));
            first.log.state = state;
            first.election.resign();
            cell.time.run_for(seconds(3));
            CPPUNIT_ASSERT(second.election.is_leader());
            CPPUNIT_ASSERT(!second.election.predecessor_has_ended());
            const lease_epoch epoch = second.election.epoch();
            first.log.state = sim_log::way::open;
            cell.time.run_for(seconds(3));
            CPPUNIT_ASSERT(second.election.is_leader());
            CPPUNIT_ASSERT_EQUAL(epoch.value(), second.election.epoch().value());
            CPPUNIT_ASSERT_EQUAL(0L, cell.count(election_record::kind::resignation));
        }
    }
    /// The store refuses the resignation for half a second while another host accepts a job. The
    /// resigned host still follows the log, and must leave the job to its successor.
    void a_host_that_has_resigned_orders_nothing_while_it_tries() {
        cell_world world(1, 2, 4);
        world.checker().failure_probability = 0;
        world.time().run_for(seconds(3));
        const std::size_t first = *world.coordinator();
        const std::size_t second = 1 - first;
        world.host(first)->way_to_log().state = sim_log::way::refused;
        world.host(first)->member().resign();
        world.submit(second, "a", cell_world::make_job({cell_world::make_step(4, 500)}));
        for (int step = 0; step < 50; ++step) {
            world.time().run_for(milliseconds(10));
            CPPUNIT_ASSERT(world.host(first)->member().coordinating() == nullptr);
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world.checker().starts);
        world.host(first)->way_to_log().state = sim_log::way::open;
        world.time().run_for(retry_period + at_once);
        CPPUNIT_ASSERT(world.coordinator() == second);
        CPPUNIT_ASSERT(world.host(second)->member().election().predecessor_has_ended());
        world.time().run_for(seconds(2));
        CPPUNIT_ASSERT(world.host(first)->member().coordinating() == nullptr);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, world.checker().starts);
        CPPUNIT_ASSERT(world.checker().violations.empty());
    }
    /// Guards against a resignation that is sent for ever because the log doesn't take its account:
    /// callers wait until renewals are missed.
    void a_resignation_whose_account_the_log_rejects_is_followed_at_once() {
        cell_of_candidates cell;
        candidate& first = cell.add();
        cell.time.run_for(seconds(1));
        candidate& second = cell.add();
        cell.time.run_for(seconds(2));
        CPPUNIT_ASSERT(first.election.is_leader());
        first.election.resign(std::string(cell.store.max_record_bytes, 'a'));
        cell.time.run_for(at_once);
        CPPUNIT_ASSERT(second.election.is_leader());
        CPPUNIT_ASSERT(second.election.predecessor_has_ended());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, cell.store.rejected);
    }
    /// Guards against an account that outgrows a record while many workers are out of reach, and
    /// against one that gives a worker a shorter time than one of its rows.
    void an_account_of_many_workers_keeps_to_its_limit() {
        constexpr std::size_t workers = 20'000;
        constexpr std::size_t max_bytes = 64'000;
        outstanding_orders orders;
        for (std::size_t index = 0; index < workers; ++index)
            orders.unresolved_workers.push_back(
                {worker_id("i-" + std::to_string(1'000'000 + index)), milliseconds(index)});
        orders.unresolved_workers.push_back({worker_id("i-1000001"), milliseconds(70)});
        orders.unresolved_workers.push_back({worker_id("i-1000002"), std::nullopt});
        const std::string bytes = encode_outstanding_within(orders, max_bytes);
        CPPUNIT_ASSERT(bytes.size() <= max_bytes && bytes.size() > max_bytes / 3);
        const auto read = decode_outstanding(bytes);
        CPPUNIT_ASSERT(read.has_value());
        CPPUNIT_ASSERT(read->unresolved_workers.size() > 1000);
        for (const unresolved_worker& row : read->unresolved_workers) {
            CPPUNIT_ASSERT(row.id != worker_id("i-1000002"));
            if (row.id == worker_id("i-1000001"))
                CPPUNIT_ASSERT(*row.expires_in >= milliseconds(70));
        }
        CPPUNIT_ASSERT(decode_outstanding(encode_outstanding_within(orders, 0)).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(resignation_test);

} // namespace
} // namespace figwinch::sim
