#include "tools/load/load_run.h"

#include "tests/net/raw_client.h"
#include "tools/load/payload.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <google/protobuf/util/json_util.h>

#include <memory>
#include <string>
#include <vector>

namespace figwinch::load {
namespace {

using responder_ptr = std::shared_ptr<http_responder>;

class load_run_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(load_run_test);
    CPPUNIT_TEST(arrivals_go_on_while_nothing_is_answered);
    CPPUNIT_TEST(a_crossed_answer_is_a_wrong_answer);
    CPPUNIT_TEST(a_refusal_keeps_its_code);
    CPPUNIT_TEST(a_job_is_submitted_until_accepted_and_followed_to_its_end);
    CPPUNIT_TEST_SUITE_END();

    event_loop loop_;
    system_clock time_;
    std::unique_ptr<http_server> server_;
    std::vector<http_request> seen_;
    std::vector<responder_ptr> held_;
    std::function<http_response(const http_request&)> answer_;

    void serve(std::function<http_response(const http_request&)> answer) {
        answer_ = std::move(answer);
        auto listening = http_server::listen(loop_, "127.0.0.1", 0, {},
                                             [this](http_request request, responder_ptr responder) {
                                                 seen_.push_back(std::move(request));
                                                 if (answer_)
                                                     responder->respond(answer_(seen_.back()));
                                                 else
                                                     held_.push_back(std::move(responder));
                                             });
        CPPUNIT_ASSERT(listening.ok());
        server_ = std::move(*listening);
    }

    /// What the stand-in executor answers to `request`.
    static std::string answer_to(const http_request& request) {
        pb::ExecutorAnswer answer;
        answer.set_request_id(std::string(*request.headers.find("Figwinch-Request-Id")));
        answer.set_customer(std::string(*request.headers.find("Figwinch-Customer")));
        answer.set_body(request.body);
        std::string text;
        CPPUNIT_ASSERT(google::protobuf::util::MessageToJsonString(answer, &text).ok());
        return text;
    }

    static trace requests(int count) {
        trace events;
        for (int i = 0; i < count; ++i) {
            pb::TraceLine line;
            line.set_kind("request");
            line.set_id("r" + std::to_string(i));
            line.set_customer("c");
            line.set_service("s");
            line.set_deadline_ms(100'000);
            events.push_back(line);
        }
        return events;
    }

    std::unique_ptr<load_run> make_run(trace events) {
        run_settings settings;
        settings.entries = {{"127.0.0.1", server_->port()}};
        return std::make_unique<load_run>(loop_, time_, settings, std::move(events));
    }

    void finish(load_run& run) {
        bool done = false;
        run.start([&] { done = true; });
        run_until(loop_, [&] { return done; });
    }

    // The system stalls. A load generator that waits for answers before it sends on stalls with it,
    // measures one slow request, and reports a fine tail for what its callers would call an outage.
    void arrivals_go_on_while_nothing_is_answered() {
        constexpr int count = 50;
        serve(nullptr);
        const auto run = make_run(requests(count));
        bool done = false;
        run->start([&] { done = true; });
        run_until(loop_, [&] { return seen_.size() == count; });
        for (std::size_t i = 0; i < held_.size(); ++i)
            held_[i]->respond({200, {}, answer_to(seen_[i])});
        run_until(loop_, [&] { return done; });
        for (const request_outcome& outcome : run->requests())
            CPPUNIT_ASSERT(outcome.fate == request_fate::answered);
    }

    // Two answers are crossed: each studio gets the other's pass. Counted by status alone, both
    // would pass as answered.
    void a_crossed_answer_is_a_wrong_answer() {
        serve(nullptr);
        const auto run = make_run(requests(2));
        bool done = false;
        run->start([&] { done = true; });
        run_until(loop_, [&] { return seen_.size() == 2; });
        held_[0]->respond({200, {}, answer_to(seen_[1])});
        held_[1]->respond({200, {}, answer_to(seen_[1]).substr(0, 100)});
        run_until(loop_, [&] { return done; });
        for (const request_outcome& outcome : run->requests())
            CPPUNIT_ASSERT(outcome.fate == request_fate::wrong_answer);
    }

    void a_refusal_keeps_its_code() {
        serve([](const http_request&) {
            return http_response{503, {}, R"({"code": 201, "name": "queue_full", "ran": "no"})"};
        });
        const auto run = make_run(requests(1));
        finish(*run);
        CPPUNIT_ASSERT(run->requests()[0].fate == request_fate::refused);
        CPPUNIT_ASSERT_EQUAL(201, run->requests()[0].code);
        CPPUNIT_ASSERT_EQUAL(std::string("no"), run->requests()[0].ran);
    }

    void a_job_is_submitted_until_accepted_and_followed_to_its_end() {
        int submissions = 0;
        serve([&](const http_request& request) {
            if (request.method == http_method::get)
                return http_response{200,
                                     {},
                                     R"({"state": "finished", "tasks": [)"
                                     R"({"state": "finished", "attempt": "2"}]})"};
            if (++submissions == 1)
                return http_response{503, {}, R"({"code": 302, "name": "job_not_kept", "ran": "no",
                                                 "retry_after_ms": 2000})"};
            return http_response{201, {}, ""};
        });
        pb::TraceLine line;
        line.set_kind("job");
        line.set_id("j");
        line.set_customer("c");
        line.set_tasks(1);
        const auto run = make_run({line});
        finish(*run);
        const job_outcome job = run->jobs()[0];
        CPPUNIT_ASSERT_EQUAL(std::string("finished"), job.state);
        CPPUNIT_ASSERT_EQUAL(2, job.submissions);
        CPPUNIT_ASSERT_EQUAL(1, job.further_attempts);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_run_test);

} // namespace
} // namespace figwinch::load
