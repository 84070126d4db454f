#include "platform/worker_client.h"

#include <absl/strings/str_cat.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace figwinch::platform {
namespace {

/// Start orders: which of them are sent when a burst has to wait for room in the window, and what
/// is known of those without an answer.
class worker_starts_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(worker_starts_test);
    CPPUNIT_TEST(a_queued_start_that_is_no_longer_wanted_isnt_sent);
    CPPUNIT_TEST(still_wanted_isnt_asked_for_a_start_that_is_sent_at_once);
    CPPUNIT_TEST(all_starts_of_a_burst_to_one_worker_are_sent);
    CPPUNIT_TEST(all_stops_of_a_burst_to_one_worker_are_sent);
    CPPUNIT_TEST(a_stop_overtakes_starts_that_wait);
    CPPUNIT_TEST(starts_that_wait_for_an_unresponsive_worker_are_dropped);
    CPPUNIT_TEST(an_unresponsive_worker_delays_no_orders_to_others);
    CPPUNIT_TEST(the_outcome_of_an_unanswered_start_is_unknown);
    CPPUNIT_TEST(a_start_over_a_connection_of_the_incarnation_that_reported_reaches_no_other);
    CPPUNIT_TEST(a_start_over_a_new_connection_follows_a_report_over_it);
    CPPUNIT_TEST(a_start_for_an_earlier_incarnation_isnt_sent);
    CPPUNIT_TEST_SUITE_END();

    event_loop loop_;
    std::unique_ptr<http_server> server_;
    std::size_t arrived_ = 0;
    /// Requests that never get an answer; kept so that their connections stay open.
    std::vector<std::shared_ptr<http_responder>> unanswered_;
    /// Paths of the requests to a reporting worker.
    std::vector<std::string> received_;
    worker_client client_{loop_};

    void start(bool unresponsive) {
        auto listening = http_server::listen(
            loop_, "127.0.0.1", 0, {},
            [this, unresponsive](const http_request&, const std::shared_ptr<http_responder>& to) {
                ++arrived_;
                if (unresponsive)
                    return unanswered_.push_back(to);
                http_response answer;
                answer.body = R"({"clockMs":60000})";
                to->respond(std::move(answer));
            });
        CPPUNIT_ASSERT(listening.ok());
        server_ = std::move(*listening);
    }
    /// Orders `count` starts at once; returns how many ended with each outcome.
    std::map<order_outcome, std::size_t> order_starts(std::size_t count, bool wanted) {
        start_order order;
        order.task = "5c0e7a21d94b36f8.0.1.13";
        order.payload = std::string(2400, 's');
        order.still_wanted = [wanted] { return wanted; };
        std::map<order_outcome, std::size_t> outcomes;
        std::size_t ended = 0;
        for (std::size_t index = 0; index < count; ++index) {
            worker_listing worker;
            worker.id = worker_id(absl::StrCat("worker-", index));
            worker.address = endpoint{"127.0.0.1", server_->port()};
            client_.start(worker, order, [&, count](const order_answer& answer) {
                ++outcomes[answer.outcome];
                if (++ended == count)
                    loop_.stop();
            });
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ended);
        loop_.run();
        return outcomes;
    }

    start_order order_for_one() const {
        start_order order;
        order.task = "5c0e7a21d94b36f8.0.1.13";
        order.payload = std::string(400, 's');
        return order;
    }
    worker_listing one_worker() const {
        worker_listing worker;
        worker.id = worker_id("one");
        worker.address = endpoint{"127.0.0.1", server_->port()};
        return worker;
    }
    auto start_to_one() {
        return [this](const worker_orders::answer_handler& done) {
            client_.start(one_worker(), order_for_one(), done);
        };
    }
    auto stop_at_one() {
        return [this](const worker_orders::answer_handler& done) {
            client_.stop(one_worker(), "5c0e7a21d94b36f8.0.1.13", run_number(1), lease_epoch(1),
                         done);
        };
    }
    /// Sends `count` orders to one worker at once; returns how many ended with each outcome.
    template <class Order>
    std::map<order_outcome, std::size_t> order_at_one(std::size_t count, const Order& order) {
        std::map<order_outcome, std::size_t> outcomes;
        std::size_t ended = 0;
        for (std::size_t index = 0; index < count; ++index)
            order([&](const order_answer& answer) {
                ++outcomes[answer.outcome];
                if (++ended == count)
                    loop_.stop();
            });
        loop_.run();
        return outcomes;
    }

    static constexpr std::uint64_t born_ms = 1'750'000'000'000;

    /// Starts a worker that sends reports but never answers a start.
    void start_reporting() {
        auto listening = http_server::listen(
            loop_, "127.0.0.1", 0, {},
            [this](const http_request& asked, const std::shared_ptr<http_responder>& to) {
                received_.push_back(asked.path);
                if (asked.path != "/figwinch/hold")
                    return unanswered_.push_back(to);
                http_response answer;
                answer.body =
                    R"({"clockMs":60000,"born":1750000000000,"running":[],"finished":[]})";
                to->respond(std::move(answer));
            });
        CPPUNIT_ASSERT(listening.ok());
        server_ = std::move(*listening);
    }
    worker_listing reporting_worker() const {
        worker_listing worker;
        worker.id = worker_id("worker");
        worker.address = endpoint{"127.0.0.1", server_->port()};
        return worker;
    }
    void report() {
        client_.renew_lease(reporting_worker(), {},
                            [this](order_outcome outcome, const worker_report&) {
                                CPPUNIT_ASSERT(outcome == order_outcome::done);
                                loop_.stop();
                            });
        loop_.run();
    }
    /// Orders a start for the worker incarnation `born`, which gets no answer; returns what is
    /// known of it.
    order_answer start_of_incarnation(std::uint64_t born) {
        start_order order;
        order.task = "5c0e7a21d94b36f8.0.1.13";
        order.incarnation = born;
        order_answer got;
        client_.start(reporting_worker(), order, [&](const order_answer& answer) {
            got = answer;
            loop_.stop();
        });
        loop_.run();
        return got;
    }

public:
    /// Guards against queued starts that are still sent after their deadline, after the worker has
    /// announced that it leaves, or after another host has become the coordinator.
    void a_queued_start_that_is_no_longer_wanted_isnt_sent() {
        start(false);
        constexpr std::size_t count = 98;
        auto outcomes = order_starts(count, false);
        CPPUNIT_ASSERT(outcomes[order_outcome::dropped] > 0);
        CPPUNIT_ASSERT(outcomes[order_outcome::done] > 0);
        CPPUNIT_ASSERT_EQUAL(arrived_, outcomes[order_outcome::done]);
        CPPUNIT_ASSERT_EQUAL(count, arrived_ + outcomes[order_outcome::dropped]);
    }
    /// Guards against a start that ends before the call that orders it has returned, because
    /// `still_wanted` was asked although the start didn't have to wait.
    void still_wanted_isnt_asked_for_a_start_that_is_sent_at_once() {
        start(false);
        auto outcomes = order_starts(1, false);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outcomes[order_outcome::done]);
    }
    /// Guards against starts that end as not sent because a worker gets more of them at once than
    /// there are connections to it: a gang of that size never starts.
    void all_starts_of_a_burst_to_one_worker_are_sent() {
        start(false);
        const auto outcomes = order_at_one(200, start_to_one());
        CPPUNIT_ASSERT_EQUAL(std::size_t{200}, outcomes.at(order_outcome::done));
    }
    /// The same for stops: a cancelled job has to be gone in time.
    void all_stops_of_a_burst_to_one_worker_are_sent() {
        start(false);
        const auto outcomes = order_at_one(400, stop_at_one());
        CPPUNIT_ASSERT_EQUAL(std::size_t{400}, outcomes.at(order_outcome::done));
    }
    /// Guards against stops that wait behind a burst of starts.
    void a_stop_overtakes_starts_that_wait() {
        start(false);
        std::size_t started = 0;
        std::size_t started_before_stop = 0;
        constexpr std::size_t starts = 100;
        const auto on_start = [&](const order_answer&) {
            if (++started == starts)
                loop_.stop();
        };
        for (std::size_t index = 0; index < starts; ++index)
            start_to_one()(on_start);
        stop_at_one()([&](const order_answer&) { started_before_stop = started; });
        loop_.run();
        CPPUNIT_ASSERT(started_before_stop < starts / 2);
    }
    /// Guards against orders that wait without limit, and against taking their drop for a refusal.
    void starts_that_wait_for_an_unresponsive_worker_are_dropped() {
        start(true);
        const auto outcomes = order_at_one(40, start_to_one());
        CPPUNIT_ASSERT(outcomes.at(order_outcome::dropped) >= 20);
        CPPUNIT_ASSERT_EQUAL(std::size_t{40}, outcomes.at(order_outcome::dropped) +
                                                  outcomes.at(order_outcome::unknown));
    }
    /// Guards against one worker's queue that keeps the connections or the window of others.
    void an_unresponsive_worker_delays_no_orders_to_others() {
        start(true);
        const std::unique_ptr<http_server> unresponsive = std::move(server_);
        const endpoint silent{"127.0.0.1", unresponsive->port()};
        start(false);
        std::size_t silent_ended = 0;
        for (int index = 0; index < 40; ++index) {
            worker_listing other;
            other.id = worker_id("silent");
            other.address = silent;
            client_.start(other, order_for_one(), [&](const order_answer&) { ++silent_ended; });
        }
        const auto outcomes = order_at_one(100, start_to_one());
        CPPUNIT_ASSERT_EQUAL(std::size_t{100}, outcomes.at(order_outcome::done));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, silent_ended);
    }
    /// Guards against a task that is started on another worker while its unanswered first start may
    /// still be carried out.
    void the_outcome_of_an_unanswered_start_is_unknown() {
        start(true);
        auto outcomes = order_starts(3, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, outcomes[order_outcome::unknown]);
    }
    /// Guards against a lost worker's task that is needlessly kept waiting, because a later
    /// incarnation of the worker is wrongly assumed to have received the start.
    void a_start_over_a_connection_of_the_incarnation_that_reported_reaches_no_other() {
        start_reporting();
        // The second report is requested over the connection that the first request opened.
        report();
        report();
        received_.clear();
        const order_answer answer = start_of_incarnation(born_ms);
        CPPUNIT_ASSERT(answer.outcome == order_outcome::unknown);
        CPPUNIT_ASSERT(!answer.may_reach_other_incarnation);
        CPPUNIT_ASSERT((received_ == std::vector<std::string>{"/figwinch/run-start"}));
    }
    /// Guards against a task that runs twice because a later incarnation of its worker received the
    /// start, and against waiting for an unanswered start as if one had.
    void a_start_over_a_new_connection_follows_a_report_over_it() {
        start_reporting();
        report();
        report();
        start_of_incarnation(born_ms);
        received_.clear();
        // The first start timed out, so its connection was closed and the second opens a new one.
        const order_answer answer = start_of_incarnation(born_ms);
        CPPUNIT_ASSERT(answer.outcome == order_outcome::unknown);
        CPPUNIT_ASSERT(!answer.may_reach_other_incarnation);
        CPPUNIT_ASSERT(
            (received_ == std::vector<std::string>{"/figwinch/hold", "/figwinch/run-start"}));
    }
    /// Guards against a task that runs twice because a coordinator that doesn't know of the
    /// worker's later incarnation yet orders a start for the earlier one.
    void a_start_for_an_earlier_incarnation_isnt_sent() {
        start_reporting();
        report();
        report();
        const order_answer answer = start_of_incarnation(born_ms - 1);
        CPPUNIT_ASSERT(answer.outcome == order_outcome::other_incarnation);
        CPPUNIT_ASSERT(unanswered_.empty());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_starts_test);

} // namespace
} // namespace figwinch::platform
