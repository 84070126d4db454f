#include "platform/worker_calls.h"

#include <absl/strings/str_cat.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <map>

namespace figwinch::platform {
namespace {

/// More starts at once than are sent at once.
class worker_starts_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(worker_starts_test);
    CPPUNIT_TEST(a_start_that_is_no_longer_wanted_at_its_turn_isnt_sent);
    CPPUNIT_TEST(a_start_that_is_sent_at_once_isnt_asked_about);
    CPPUNIT_TEST(a_silent_workers_start_stays_unknown);
    CPPUNIT_TEST_SUITE_END();

    event_loop loop_;
    std::unique_ptr<http_server> server_;
    std::size_t arrived_ = 0;
    /// Never answered; kept so that their connections stay open.
    std::vector<std::shared_ptr<http_responder>> silent_;
    worker_calls calls_{loop_};

    void start(bool silent) {
        auto listening = http_server::listen(
            loop_, "127.0.0.1", 0, {},
            [this, silent](const http_request&, const std::shared_ptr<http_responder>& to) {
                ++arrived_;
                if (silent)
                    return silent_.push_back(to);
                http_response answer;
                answer.body = R"({"clockMs":60000})";
                to->respond(std::move(answer));
            });
        CPPUNIT_ASSERT(listening.ok());
        server_ = std::move(*listening);
    }
    /// What became of `count` starts that were ordered in the same moment.
    std::map<order_outcome, std::size_t> order(std::size_t count, bool wanted) {
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
            calls_.start(worker, order, [&, count](const order_answer& answer) {
                ++outcomes[answer.outcome];
                if (++ended == count)
                    loop_.stop();
            });
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, ended);
        loop_.run();
        return outcomes;
    }

public:
    /// Guards against starts that go out when their time is over, after a worker's notice that it
    /// leaves, or when another host coordinates.
    void a_start_that_is_no_longer_wanted_at_its_turn_isnt_sent() {
        start(false);
        constexpr std::size_t count = 98;
        auto outcomes = order(count, false);
        CPPUNIT_ASSERT(outcomes[order_outcome::not_sent] > 0);
        CPPUNIT_ASSERT(outcomes[order_outcome::done] > 0);
        CPPUNIT_ASSERT_EQUAL(arrived_, outcomes[order_outcome::done]);
        CPPUNIT_ASSERT_EQUAL(count, arrived_ + outcomes[order_outcome::not_sent]);
    }
    /// Guards against a start that ends before the call that ordered it has returned.
    void a_start_that_is_sent_at_once_isnt_asked_about() {
        start(false);
        auto outcomes = order(1, false);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, outcomes[order_outcome::done]);
    }
    /// Guards against a task that is started elsewhere while its first start may be carried out.
    void a_silent_workers_start_stays_unknown() {
        start(true);
        auto outcomes = order(3, true);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, outcomes[order_outcome::unknown]);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_starts_test);

} // namespace
} // namespace figwinch::platform
