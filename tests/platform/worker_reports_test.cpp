#include "platform/worker_client.h"

#include <absl/strings/str_cat.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <deque>

namespace figwinch::platform {
namespace {

/// Report requests to many workers at once, over a link that carries one report at a time.
class worker_reports_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(worker_reports_test);
    CPPUNIT_TEST(a_report_request_doesnt_time_out_while_earlier_reports_arrive);
    CPPUNIT_TEST(unresponsive_workers_dont_delay_reports_of_others);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t workers = 98;
    // Transfer time of a 2 KB report on a 2 Mbit/s link.
    static constexpr duration report_time = std::chrono::milliseconds(8);

    event_loop loop_;
    std::unique_ptr<http_server> server_;
    std::deque<std::shared_ptr<http_responder>> pending_;
    /// Requests that never get an answer; kept so that their connections stay open.
    std::vector<std::shared_ptr<http_responder>> unanswered_;
    std::unique_ptr<event_handle> answer_timer_;
    std::size_t request_count_ = 0;
    worker_client client_{loop_};

    /// Every `unanswered_every`-th request gets no answer; with 0, all are answered.
    void start(std::size_t unanswered_every) {
        auto listening = http_server::listen(
            loop_, "127.0.0.1", 0, {},
            [this, unanswered_every](const http_request&,
                                     const std::shared_ptr<http_responder>& to) {
                const std::size_t index = request_count_++;
                if (unanswered_every != 0 && index % unanswered_every == 0)
                    unanswered_.push_back(to);
                else
                    pending_.push_back(to);
            });
        CPPUNIT_ASSERT(listening.ok());
        server_ = std::move(*listening);
        answer_timer_ = loop_.every(report_time, [this] { answer_one(); });
    }
    void answer_one() {
        if (pending_.empty())
            return;
        http_response answer;
        answer.body = R"({"clockMs":60000,"born":1750000000000,"running":[],"finished":[]})";
        pending_.front()->respond(std::move(answer));
        pending_.pop_front();
    }
    /// Requests reports from all workers at once; returns how many arrived.
    std::size_t request_all_reports() {
        std::size_t ended = 0;
        std::size_t arrived = 0;
        for (std::size_t index = 0; index < workers; ++index) {
            worker_listing worker;
            worker.id = worker_id(absl::StrCat("worker-", index));
            worker.address = endpoint{"127.0.0.1", server_->port()};
            client_.renew_lease(worker, {}, [&](order_outcome outcome, const worker_report&) {
                arrived += outcome == order_outcome::done ? 1 : 0;
                if (++ended == workers)
                    loop_.stop();
            });
        }
        loop_.run();
        return arrived;
    }

public:
    /// Guards against report requests that time out while earlier reports occupy the link.
    void a_report_request_doesnt_time_out_while_earlier_reports_arrive() {
        start(0);
        CPPUNIT_ASSERT_EQUAL(workers, request_all_reports());
    }
    /// Guards against a new coordinator that gets no reports from responsive workers, because its
    /// requests to workers that are cut off fill the window.
    void unresponsive_workers_dont_delay_reports_of_others() {
        constexpr std::size_t unanswered_every = 2;
        start(unanswered_every);
        CPPUNIT_ASSERT_EQUAL(workers / unanswered_every, request_all_reports());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_reports_test);

} // namespace
} // namespace figwinch::platform
