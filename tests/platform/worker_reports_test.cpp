#include "platform/worker_calls.h"

#include <absl/strings/str_cat.h>
#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <deque>

namespace figwinch::platform {
namespace {

/// Report requests to many workers at once, over a link that carries one report at a time.
class worker_reports_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(worker_reports_test);
    CPPUNIT_TEST(a_report_isnt_given_up_while_those_asked_before_it_arrive);
    CPPUNIT_TEST(workers_that_are_silent_keep_no_others_from_being_heard);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t workers = 98;
    // Transfer time of a 2 KB report on a 2 Mbit/s link.
    static constexpr duration report_time = std::chrono::milliseconds(8);

    event_loop loop_;
    std::unique_ptr<http_server> server_;
    std::deque<std::shared_ptr<http_responder>> asked_;
    /// Requests that never get an answer; kept so that their connections stay open.
    std::vector<std::shared_ptr<http_responder>> silent_;
    std::unique_ptr<event_handle> passing_;
    std::size_t asked_before_ = 0;
    worker_calls calls_{loop_};

    /// Every `silent_every`-th request gets no answer; with 0, all are answered.
    void start(std::size_t silent_every) {
        auto listening = http_server::listen(
            loop_, "127.0.0.1", 0, {},
            [this, silent_every](const http_request&, const std::shared_ptr<http_responder>& to) {
                const std::size_t index = asked_before_++;
                if (silent_every != 0 && index % silent_every == 0)
                    silent_.push_back(to);
                else
                    asked_.push_back(to);
            });
        CPPUNIT_ASSERT(listening.ok());
        server_ = std::move(*listening);
        passing_ = loop_.every(report_time, [this] { pass_one(); });
    }
    void pass_one() {
        if (asked_.empty())
            return;
        http_response answer;
        answer.body = R"({"clockMs":60000,"born":1750000000000,"running":[],"finished":[]})";
        asked_.front()->respond(std::move(answer));
        asked_.pop_front();
    }
    /// Requests reports from all workers at once; returns how many arrived.
    std::size_t ask_all() {
        std::size_t ended = 0;
        std::size_t heard = 0;
        for (std::size_t index = 0; index < workers; ++index) {
            worker_listing worker;
            worker.id = worker_id(absl::StrCat("worker-", index));
            worker.address = endpoint{"127.0.0.1", server_->port()};
            calls_.hold(worker, {}, [&](order_outcome outcome, const worker_report&) {
                heard += outcome == order_outcome::done ? 1 : 0;
                if (++ended == workers)
                    loop_.stop();
            });
        }
        loop_.run();
        return heard;
    }

public:
    /// Guards against report requests that time out while earlier reports occupy the link.
    void a_report_isnt_given_up_while_those_asked_before_it_arrive() {
        start(0);
        CPPUNIT_ASSERT_EQUAL(workers, ask_all());
    }
    /// Guards against a new coordinator that gets no reports from responsive workers, because its
    /// requests to workers that are cut off fill the window.
    void workers_that_are_silent_keep_no_others_from_being_heard() {
        constexpr std::size_t silent_every = 2;
        start(silent_every);
        CPPUNIT_ASSERT_EQUAL(workers / silent_every, ask_all());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_reports_test);

} // namespace
} // namespace figwinch::platform
