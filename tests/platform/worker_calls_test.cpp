#include "platform/worker_calls.h"

#include "tests/net/slow_link.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch::platform {
namespace {

/// Orders to many workers at once over a host's link: a fifth of 490 workers over a fifth of
/// 10 Mbit/s, in equal parts, since a listening socket of a test takes few connections at a time.
class worker_calls_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(worker_calls_test);
    CPPUNIT_TEST(a_new_coordinator_hears_of_all_workers_over_a_slow_link);
    CPPUNIT_TEST(a_burst_of_starts_is_answered_over_a_slow_link);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t workers = 98;
    static constexpr std::size_t parts = 14;
    static constexpr std::size_t bytes_per_s = 250'000;

    event_loop loop_;
    std::unique_ptr<http_server> server_;
    std::vector<std::unique_ptr<slow_link>> links_;
    worker_calls calls_{loop_};
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
        for (std::size_t part = 0; part < parts; ++part)
            links_.push_back(
                std::make_unique<slow_link>(loop_, server_->port(), bytes_per_s / parts));
    }
    worker_listing listing(std::size_t index) const {
        worker_listing worker;
        worker.id = worker_id(absl::StrCat("worker-", index));
        worker.address = endpoint{"127.0.0.1", links_[index % parts]->port()};
        return worker;
    }
    /// Calls every worker in the same moment; how many calls were done.
    template <class Call>
    std::size_t call_all(const Call& call) {
        std::size_t ended = 0;
        std::size_t done = 0;
        for (std::size_t index = 0; index < workers; ++index) {
            call(listing(index), [&](order_outcome outcome) {
                done += outcome == order_outcome::done ? 1 : 0;
                if (++ended == workers)
                    loop_.stop();
            });
        }
        loop_.run();
        return done;
    }

public:
    /// Guards against a coordinator that asks all workers for their reports, gives all of them up
    /// while they arrive and asks for the same again: 24 ends and 10 runs are 2 KB.
    void a_new_coordinator_hears_of_all_workers_over_a_slow_link() {
        start(24, 10);
        const std::size_t done = call_all([this](const worker_listing& where, const auto& end) {
            calls_.hold(where, {},
                        [end](order_outcome outcome, const worker_report&) { end(outcome); });
        });
        CPPUNIT_ASSERT_EQUAL(workers, done);
    }
    /// Guards against starts that are given up, stopped and ordered again because there were too
    /// many of them for the link: one for each worker, with 2.4 KB of the 4 KB that it may carry.
    void a_burst_of_starts_is_answered_over_a_slow_link() {
        start(0, 0);
        start_order order;
        order.task = "5c0e7a21d94b36f8.0.1.13";
        order.payload = std::string(2400, 's');
        const std::size_t done = call_all([&](const worker_listing& where, const auto& end) {
            calls_.start(where, order, [end](const order_answer& answer) { end(answer.outcome); });
        });
        CPPUNIT_ASSERT_EQUAL(workers, done);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_calls_test);

} // namespace
} // namespace figwinch::platform
