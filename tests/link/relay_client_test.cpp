#include "figwinch/link.h"
#include "tests/link/fake_peers.h"
#include "tests/link/fake_workers.h"

#include <absl/strings/str_cat.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch {
namespace {

using std::chrono::milliseconds;

/// Both ends of one relay session: a coordinator's `relay_client` and the relay's `relay_server`.
class relay_client_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(relay_client_test);
    CPPUNIT_TEST(orders_reach_their_workers_and_answers_come_back);
    CPPUNIT_TEST(a_start_that_reached_one_incarnation_only_is_reported_as_such);
    CPPUNIT_TEST(a_renewal_names_the_incarnation_it_is_meant_for);
    CPPUNIT_TEST(a_lost_session_leaves_sent_orders_unknown);
    CPPUNIT_TEST(orders_of_a_lost_session_end_in_the_order_of_their_sending);
    CPPUNIT_TEST(a_payload_is_sent_once_per_job);
    CPPUNIT_TEST(an_evicted_payload_is_sent_again);
    CPPUNIT_TEST(known_runs_arent_named);
    CPPUNIT_TEST(runs_that_share_a_number_are_named);
    CPPUNIT_TEST(known_ends_arent_reported_again);
    CPPUNIT_TEST(a_relayed_report_says_whether_ends_are_left);
    CPPUNIT_TEST(a_start_isnt_sent_late);
    CPPUNIT_TEST(a_host_that_was_restarted_ends_the_session);
    CPPUNIT_TEST_SUITE_END();

    manual_clock time_;
    fake_workers workers_;
    fake_peers peers_;
    relay_server server_{time_, workers_};
    relay_client client_{time_, peers_, "b:1", "host#1/5/1", lease_epoch(5)};
    const worker_listing worker_ = listing_of("w1");

    void exchange() {
        time_.advance(milliseconds(25));
        client_.tick();
        peers_.deliver();
    }
    /// Sends a lease renewal that the worker answers with `report`; returns the report that reaches
    /// the coordinator.
    worker_report renew_lease(const worker_report& report, const renewal_order& order) {
        worker_report seen;
        client_.hold(worker_, order, [&](order_outcome outcome, const worker_report& answer) {
            CPPUNIT_ASSERT(outcome == order_outcome::done);
            seen = answer;
        });
        exchange();
        workers_.holds.back().done(order_outcome::done, report);
        exchange();
        return seen;
    }

public:
    void setUp() override {
        peers_.hosts["b:1"] = [this](std::string_view body) {
            return server_.handle_exchange(body);
        };
    }
    void orders_reach_their_workers_and_answers_come_back() {
        std::vector<order_outcome> outcomes;
        const auto record = [&](const order_answer& answer) { outcomes.push_back(answer.outcome); };
        start_order start = start_of("job1.0.0.3", 9);
        start.checkpoint = "c";
        start.ticket = "t";
        client_.start(worker_, start, record);
        client_.stop(worker_, "job1.0.0.3", run_number(9), record);
        client_.pace(worker_, {"job1.0.0.3", run_number(9), 40, lease_epoch(5)}, record);
        exchange();
        const start_order& sent = workers_.starts.at(0).order;
        CPPUNIT_ASSERT_EQUAL(std::string("payload of job1"), sent.payload);
        CPPUNIT_ASSERT_EQUAL(std::string("job1.0.0.3"), sent.task);
        CPPUNIT_ASSERT_EQUAL(std::string("c"), sent.checkpoint);
        CPPUNIT_ASSERT_EQUAL(std::string("t"), sent.ticket);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1500}, sent.start_by_ms);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{5}, sent.epoch.value());
        CPPUNIT_ASSERT_EQUAL(40, workers_.paces.at(0));
        workers_.starts.at(0).done({order_outcome::no_room, 11});
        exchange();
        CPPUNIT_ASSERT((outcomes == std::vector{order_outcome::done, order_outcome::refused,
                                                order_outcome::no_room}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, client_.pending_count());
    }
    /// Guards against the relay losing `may_reach_other_life`: the coordinator would wait for a
    /// lost worker's task as if a later incarnation of the worker might still have got the start.
    void a_start_that_reached_one_incarnation_only_is_reported_as_such() {
        constexpr std::uint64_t born_ms = 1'750'000'000'000;
        std::vector<bool> others;
        start_order start = start_of("job1.0.0.3", 9);
        start.incarnation = born_ms;
        for (int count = 0; count < 2; ++count)
            client_.start(worker_, start, [&](const order_answer& answer) {
                others.push_back(answer.may_reach_other_incarnation);
            });
        exchange();
        CPPUNIT_ASSERT_EQUAL(born_ms, workers_.starts.at(0).order.incarnation);
        workers_.starts.at(0).done({order_outcome::unknown, std::nullopt, false});
        workers_.starts.at(1).done({order_outcome::unknown, std::nullopt, true});
        exchange();
        CPPUNIT_ASSERT((others == std::vector{false, true}));
    }
    /// Guards against a lease that a relay has renewed for whichever incarnation of the worker
    /// answers, whose clock may be another one.
    void a_renewal_names_the_incarnation_it_is_meant_for() {
        constexpr std::uint64_t born = 1'750'000'000'000;
        renewal_order order;
        order.lease_until_ms = 5000;
        order.incarnation = born;
        renew_lease({}, order);
        CPPUNIT_ASSERT_EQUAL(born, workers_.holds.back().order.incarnation);
    }
    /// Guards against starting a task twice: an order sent to a relay that became unreachable may
    /// still be executed, so it must end as `unknown`, not as `not_sent`.
    void a_lost_session_leaves_sent_orders_unknown() {
        std::vector<order_outcome> outcomes;
        const auto record = [&](const order_answer& answer) { outcomes.push_back(answer.outcome); };
        client_.start(worker_, start_of("job1.0.0.0", 1), record);
        exchange();
        peers_.hosts.clear();
        client_.start(worker_, start_of("job1.0.0.1", 2), record);
        time_.advance(milliseconds(25));
        client_.tick();
        client_.start(worker_, start_of("job1.0.0.2", 3), record);
        peers_.deliver();
        CPPUNIT_ASSERT(client_.is_lost());
        client_.complete_pending();
        std::ranges::sort(outcomes);
        CPPUNIT_ASSERT((outcomes == std::vector{order_outcome::not_sent, order_outcome::unknown,
                                                order_outcome::unknown}));
    }
    /// Guards against decisions that depend on the order of a hash table, which no run repeats.
    void orders_of_a_lost_session_end_in_the_order_of_their_sending() {
        constexpr int orders = 100;
        std::vector<int> ended;
        for (int index = 0; index < orders; ++index)
            client_.stop(worker_, "job1.0.0.0", run_number(1),
                         [&ended, index](const order_answer&) { ended.push_back(index); });
        client_.complete_pending();
        CPPUNIT_ASSERT_EQUAL(std::size_t{orders}, ended.size());
        CPPUNIT_ASSERT(std::ranges::is_sorted(ended));
    }
    /// Guards against wasting bandwidth by sending a job's payload again for each of its tasks.
    void a_payload_is_sent_once_per_job() {
        start_order start = start_of("job1.0.0.0", 1);
        start.payload = std::string(4000, 's');
        for (int index = 0; index < 40; ++index)
            client_.start(worker_, start, [](const order_answer&) {});
        exchange();
        CPPUNIT_ASSERT_EQUAL(std::size_t{40}, workers_.starts.size());
        constexpr std::size_t other_bytes = 2400;
        CPPUNIT_ASSERT(peers_.bytes < 2 * start.payload.size() + other_bytes);
        CPPUNIT_ASSERT(workers_.starts.back().order.payload == start.payload);
    }
    /// Guards against starts with a wrong or missing payload when the two ends evict cached
    /// payloads differently.
    void an_evicted_payload_is_sent_again() {
        for (int job = 0; job < 1200; ++job)
            client_.start(worker_, start_of(absl::StrCat("job", job, ".0.0.0"), 1),
                          [](const order_answer&) {});
        for (int job = 0; job < 1200; job += 100)
            client_.start(worker_, start_of(absl::StrCat("job", job, ".0.0.1"), 2),
                          [](const order_answer&) {});
        exchange();
        for (const fake_workers::recorded_start& start : workers_.starts)
            CPPUNIT_ASSERT_EQUAL("payload of " +
                                     start.order.task.substr(0, start.order.task.find('.')),
                                 start.order.payload);
    }
    /// Guards against reports too large for a low-bandwidth link, by omitting task names that the
    /// coordinator knows, and against omitting names that it does not know or has asked for.
    void known_runs_arent_named() {
        client_.start(worker_, start_of("job1.0.0.0", 1), [](const order_answer&) {});
        worker_report report;
        report.running = {{"job1.0.0.0", run_number(1), "", 5, 640},
                          {"job2.0.0.0", run_number(2), "c2", 9, -3}};
        worker_report seen = renew_lease(report, {});
        CPPUNIT_ASSERT_EQUAL(std::string(), seen.running.at(0).task);
        CPPUNIT_ASSERT_EQUAL(std::string("job2.0.0.0"), seen.running.at(1).task);
        CPPUNIT_ASSERT_EQUAL(std::string("c2"), seen.running.at(1).checkpoint);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{-3}, seen.running.at(1).latency_ms_or_cpu_millis);
        CPPUNIT_ASSERT_EQUAL(9, seen.running.at(1).progress_percent);
        seen = renew_lease(report, {});
        CPPUNIT_ASSERT_EQUAL(std::string(), seen.running.at(1).task);
        renewal_order named;
        named.require_names = true;
        seen = renew_lease(report, named);
        CPPUNIT_ASSERT_EQUAL(std::string("job1.0.0.0"), seen.running.at(0).task);
    }
    /// Guards against mixing up members of a gang, whose runs share one run number.
    void runs_that_share_a_number_are_named() {
        worker_report report;
        report.running = {{"job1.0.0.0", run_number(1), "", 5, 640},
                          {"job1.0.0.1", run_number(1), "", 6, 640}};
        for (int time = 0; time < 2; ++time) {
            const worker_report seen = renew_lease(report, {});
            CPPUNIT_ASSERT_EQUAL(std::string("job1.0.0.0"), seen.running.at(0).task);
            CPPUNIT_ASSERT_EQUAL(std::string("job1.0.0.1"), seen.running.at(1).task);
        }
    }
    /// Guards against taking the ends of a worker's new incarnation for those of the previous one:
    /// they have the same numbers, and would be left out of the report.
    void known_ends_arent_reported_again() {
        worker_report report;
        report.incarnation = 100;
        report.ended = {{1, "job1.0.0.0", run_number(1), run_end::done, ""},
                        {2, "job1.0.0.1", run_number(2), run_end::failed, "c"}};
        renewal_order order;
        order.received = 1;
        order.incarnation = 100;
        worker_report seen = renew_lease(report, order);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, seen.ended.size());
        CPPUNIT_ASSERT(seen.ended.front().reason == run_end::failed);
        CPPUNIT_ASSERT_EQUAL(std::string("job1.0.0.1"), seen.ended.front().task);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{100}, workers_.holds.back().order.incarnation);
        order.incarnation = 99;
        seen = renew_lease(report, order);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, seen.ended.size());
    }
    /// Guards against taking a relayed list of ended runs for complete that the worker has cut.
    void a_relayed_report_says_whether_ends_are_left() {
        worker_report report;
        CPPUNIT_ASSERT(!renew_lease(report, {}).has_more_ended);
        report.has_more_ended = true;
        CPPUNIT_ASSERT(renew_lease(report, {}).has_more_ended);
    }
    /// Guards against a start order that waits on a saturated link of the relay and is sent
    /// although a notice about the worker has arrived in the meantime.
    void a_start_isnt_sent_late() {
        client_.start(worker_, start_of("job1.0.0.0", 1), [](const order_answer&) {});
        exchange();
        const start_order& sent = workers_.starts.at(0).order;
        CPPUNIT_ASSERT(sent.still_wanted());
        time_.advance(order_delivery_time);
        CPPUNIT_ASSERT(!sent.still_wanted());
    }
    /// Guards against waiting for answers from a relay process that has been replaced by another.
    void a_host_that_was_restarted_ends_the_session() {
        client_.start(worker_, start_of("job1.0.0.0", 1), [](const order_answer&) {});
        exchange();
        relay_server other(time_, workers_);
        peers_.hosts["b:1"] = [&other](std::string_view body) {
            return other.handle_exchange(body);
        };
        exchange();
        CPPUNIT_ASSERT(client_.is_lost());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_client_test);

} // namespace
} // namespace figwinch
