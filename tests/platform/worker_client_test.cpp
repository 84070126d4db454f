#include "platform/worker_client.h"

#include "tests/net/slow_link.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch::platform {
namespace {

/// Orders to many workers at once over a host's network link. Stands for 490 workers on a 10 Mbit/s
/// link, scaled down to a fifth. The rate is split evenly among several simulated links, because
/// one listening socket takes few connections at a time.
class worker_client_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(worker_client_test);
    CPPUNIT_TEST(a_new_coordinator_gets_all_reports_over_a_slow_link);
    CPPUNIT_TEST(a_burst_of_starts_is_answered_over_a_slow_link);
    CPPUNIT_TEST(a_burst_of_stops_is_answered_over_a_slow_link);
    CPPUNIT_TEST(a_burst_of_paces_is_answered_over_a_slow_link);
    CPPUNIT_TEST(bursts_of_starts_and_stops_are_answered_together);
    CPPUNIT_TEST(a_later_burst_is_answered_over_a_link_that_became_slow);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t workers = 98;
    static constexpr std::size_t link_count = 14;
    static constexpr std::size_t bytes_per_s = 250'000;
    static constexpr std::size_t fast_bytes_per_s = 25'000'000;
    /// Stop or pace orders per worker; fewer than the tasks that a worker has room for.
    static constexpr std::size_t small_orders_per_worker = 8;
    static constexpr const char* task = "5c0e7a21d94b36f8.0.1.13";

    event_loop loop_;
    std::unique_ptr<http_server> server_;
    std::vector<std::unique_ptr<slow_link>> links_;
    worker_client client_{loop_};
    std::string report_;

    void start(std::size_t ended, std::size_t running) {
        std::vector<std::string> ends;
        for (std::size_t row = 1; row <= ended; ++row)
            ends.push_back(absl::StrCat("[", row, R"(,"5c0e7a21d94b36f8.0.1.13",)",
                                        R"(4573968371548161,"done",""])"));
        std::vector<std::string> runs(running,
                                      R"(["5c0e7a21d94b36f8.0.1.13",4573968371548161,"",50,640])");
        report_ = absl::StrCat(R"({"clockMs":60000,"born":1750000000000,"running":[)",
                               absl::StrJoin(runs, ","), R"(],"finished":[)",
                               absl::StrJoin(ends, ","), "]}");
        auto listening = http_server::listen(
            loop_, "127.0.0.1", 0, {},
            [this](const http_request&, const std::shared_ptr<http_responder>& to) {
                http_response answer;
                answer.body = report_;
                to->respond(std::move(answer));
            });
        CPPUNIT_ASSERT(listening.ok());
        server_ = std::move(*listening);
        for (std::size_t part = 0; part < link_count; ++part)
            links_.push_back(
                std::make_unique<slow_link>(loop_, server_->port(), bytes_per_s / link_count));
    }
    worker_listing listing(std::size_t index) const {
        worker_listing worker;
        worker.id = worker_id(absl::StrCat("worker-", index));
        worker.address = endpoint{"127.0.0.1", links_[index % link_count]->port()};
        return worker;
    }
    /// Calls every worker at once; returns how many calls ended as `done`.
    template <class Call>
    std::size_t call_all(const Call& call) {
        return call_all_repeatedly(1, call);
    }
    /// Like `call_all`, with `times` calls to each worker.
    template <class Call>
    std::size_t call_all_repeatedly(std::size_t times, const Call& call) {
        std::size_t ended = 0;
        std::size_t done = 0;
        for (std::size_t index = 0; index < workers * times; ++index) {
            call(listing(index % workers), [&, times](order_outcome outcome) {
                done += outcome == order_outcome::done ? 1 : 0;
                if (++ended == workers * times)
                    loop_.stop();
            });
        }
        loop_.run();
        return done;
    }
    auto stop_order() {
        return [this](const worker_listing& where, const auto& end) {
            client_.stop(where, task, run_number(7), lease_epoch(3),
                         [end](const order_answer& answer) { end(answer.outcome); });
        };
    }
    auto start_order_of(std::size_t payload_bytes) {
        return [this, payload_bytes](const worker_listing& where, const auto& end) {
            start_order order;
            order.task = task;
            order.payload = std::string(payload_bytes, 's');
            client_.start(where, order, [end](const order_answer& answer) { end(answer.outcome); });
        };
    }

public:
    /// Guards against a new coordinator that requests the reports of all workers at once, times out
    /// while they arrive, and requests them again. Each report is 2 KB: 24 ended and 10 running
    /// runs.
    void a_new_coordinator_gets_all_reports_over_a_slow_link() {
        start(24, 10);
        const std::size_t done = call_all([this](const worker_listing& where, const auto& end) {
            client_.renew_lease(
                where, {}, [end](order_outcome outcome, const worker_report&) { end(outcome); });
        });
        CPPUNIT_ASSERT_EQUAL(workers, done);
    }
    /// Guards against starts that time out, are stopped and are ordered again because the burst was
    /// too large for the link: one start per worker with a payload of 2.4 KB; 4 KB is the maximum.
    void a_burst_of_starts_is_answered_over_a_slow_link() {
        start(0, 0);
        start_order order;
        order.task = "5c0e7a21d94b36f8.0.1.13";
        order.payload = std::string(2400, 's');
        const std::size_t done = call_all([&](const worker_listing& where, const auto& end) {
            client_.start(where, order, [end](const order_answer& answer) { end(answer.outcome); });
        });
        CPPUNIT_ASSERT_EQUAL(workers, done);
    }
    /// Guards against stops that time out because the burst was too large for the link, as when
    /// jobs of many tasks are cancelled together.
    void a_burst_of_stops_is_answered_over_a_slow_link() {
        start(0, 0);
        CPPUNIT_ASSERT_EQUAL(small_orders_per_worker * workers,
                             call_all_repeatedly(small_orders_per_worker, stop_order()));
    }
    /// Guards against pace orders that time out because the burst was too large for the link, as
    /// when all best-effort tasks that share workers with service tasks are throttled together.
    void a_burst_of_paces_is_answered_over_a_slow_link() {
        start(0, 0);
        const auto pace = [this](const worker_listing& where, const auto& end) {
            client_.throttle(where, {task, run_number(7), 50, lease_epoch(3)},
                             [end](const order_answer& answer) { end(answer.outcome); });
        };
        CPPUNIT_ASSERT_EQUAL(small_orders_per_worker * workers,
                             call_all_repeatedly(small_orders_per_worker, pace));
    }
    /// Guards against a window per kind of order: starts and stops together must not exceed the
    /// link's capacity.
    void bursts_of_starts_and_stops_are_answered_together() {
        start(0, 0);
        std::size_t turn = 0;
        const auto either = [&](const worker_listing& where, const auto& end) {
            if (++turn <= workers)
                start_order_of(2400)(where, end);
            else
                stop_order()(where, end);
        };
        CPPUNIT_ASSERT_EQUAL((1 + small_orders_per_worker) * workers,
                             call_all_repeatedly(1 + small_orders_per_worker, either));
    }
    /// Guards against a window that grew on a fast link and stays as large once the link is slow.
    void a_later_burst_is_answered_over_a_link_that_became_slow() {
        start(0, 0);
        for (const auto& link : links_)
            link->set_rate(fast_bytes_per_s);
        for (int burst = 0; burst < 6; ++burst)
            CPPUNIT_ASSERT_EQUAL(workers, call_all(start_order_of(2400)));
        for (const auto& link : links_)
            link->set_rate(bytes_per_s / link_count);
        CPPUNIT_ASSERT_EQUAL(workers, call_all(start_order_of(2400)));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_client_test);

} // namespace
} // namespace figwinch::platform
