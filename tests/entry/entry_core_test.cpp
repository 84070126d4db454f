#include "tests/entry/region.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch {
namespace {

using namespace std::chrono_literals;

const http_header idempotent{"Figwinch-Idempotent", "true"};

bool says(const call_result& result, const std::string& text) {
    return result.response.body.find(text) != std::string::npos;
}

class entry_core_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(entry_core_test);
    CPPUNIT_TEST(a_request_gets_its_own_whole_answer);
    CPPUNIT_TEST(refusals_say_whether_the_request_ran);
    CPPUNIT_TEST(a_resend_through_any_entry_runs_once_and_gets_the_answer);
    CPPUNIT_TEST(a_lost_reply_is_not_run_again);
    CPPUNIT_TEST(a_lost_reply_to_an_idempotent_request_is_sent_again);
    CPPUNIT_TEST(crossed_and_truncated_answers_are_never_passed_on);
    CPPUNIT_TEST(a_refusal_before_running_is_tried_elsewhere);
    CPPUNIT_TEST(an_entry_without_executors_forwards);
    CPPUNIT_TEST(a_killed_entry_leaves_no_second_run);
    CPPUNIT_TEST(a_holder_that_dies_keeps_no_resend_waiting);
    CPPUNIT_TEST(a_cut_off_entry_does_not_guess);
    CPPUNIT_TEST(a_stop_cuts_no_request);
    CPPUNIT_TEST(a_refusal_does_not_deny_a_run_elsewhere);
    CPPUNIT_TEST(more_requests_than_slots_wait_and_are_answered);
    CPPUNIT_TEST(requests_wait_where_the_slots_are);
    CPPUNIT_TEST(a_job_is_found_wherever_it_has_moved);
    CPPUNIT_TEST(what_cannot_make_its_deadline_is_refused_at_once);
    CPPUNIT_TEST_SUITE_END();

    void a_request_gets_its_own_whole_answer() {
        region all(1, 2);
        const auto answers = all.send_many("e0", 20, "r", {idempotent});
        all.finish();
        for (int i = 0; i < 20; ++i) {
            CPPUNIT_ASSERT_EQUAL(200, answers[static_cast<std::size_t>(i)]->response.status);
            const std::string own = R"("request_id":"r)" + std::to_string(i) + '"';
            CPPUNIT_ASSERT(says(*answers[static_cast<std::size_t>(i)], own));
        }
    }

    void refusals_say_whether_the_request_ran() {
        region all(1, 1);
        const auto bad = all.send("e0", "r1", {{"Figwinch-Deadline-Ms", "soon"}, idempotent});
        http_request nowhere;
        nowhere.path = "/v2";
        const auto unknown = all.call("e0", nowhere);
        all.executors[0]->model().faults().refuse = true;
        const auto refused = all.send("e0", "r2", {idempotent});
        all.finish();
        CPPUNIT_ASSERT_EQUAL(400, bad->response.status);
        CPPUNIT_ASSERT(says(*bad, R"({"code": 105, "name": "invalid_value", "ran": "no", )"));
        CPPUNIT_ASSERT_EQUAL(404, unknown->response.status);
        CPPUNIT_ASSERT_EQUAL(503, refused->response.status);
        CPPUNIT_ASSERT(says(*refused, R"("ran": "no")"));
        CPPUNIT_ASSERT(refused->response.headers.find("Retry-After").has_value());
        CPPUNIT_ASSERT_EQUAL(0, all.runs("r2"));
    }

    // The clerk's first answer is lost on the way, and the clerk sends the ticket again: at once to
    // another entry, later to a third.
    void a_resend_through_any_entry_runs_once_and_gets_the_answer() {
        region all(3, 3);
        const auto first = all.send("e0", "t1", {}, R"({"work_ms": 50})");
        const auto joined = all.send("e0", "t1", {}, R"({"work_ms": 50})");
        all.finish();
        const auto second = all.send("e1", "t1");
        const auto third = all.send("e2", "t1");
        all.finish();
        CPPUNIT_ASSERT_EQUAL(1, all.runs("t1"));
        for (const auto& answer : {first, joined, second, third}) {
            CPPUNIT_ASSERT_EQUAL(200, answer->response.status);
            CPPUNIT_ASSERT_EQUAL(first->response.body, answer->response.body);
        }
    }

    // The executor issues the ticket and its reply is lost. Neither the entry nor a resend may
    // issue it again, and nobody may say that it was not issued.
    void a_lost_reply_is_not_run_again() {
        region all(3, 1);
        all.executors[0]->model().faults().lose_reply = 1;
        const auto first = all.send("e0", "t1");
        all.finish();
        const auto second = all.send("e1", "t1");
        const auto third = all.send("e0", "t1");
        all.finish();
        CPPUNIT_ASSERT_EQUAL(1, all.runs("t1"));
        for (const auto& answer : {first, second, third}) {
            CPPUNIT_ASSERT_EQUAL(502, answer->response.status);
            CPPUNIT_ASSERT(says(*answer, R"("ran": "unknown")"));
        }
    }

    void a_lost_reply_to_an_idempotent_request_is_sent_again() {
        region all(1, 2);
        all.executors[0]->model().faults().lose_reply = 1;
        all.executors[1]->model().faults().lose_reply = 1;
        const auto answer = all.send("e0", "r1", {idempotent});
        all.finish();
        CPPUNIT_ASSERT_EQUAL(200, answer->response.status);
        CPPUNIT_ASSERT_EQUAL(3, all.runs("r1"));
    }

    // Something between entry and executor hands out another studio's answer, or half of one.
    void crossed_and_truncated_answers_are_never_passed_on() {
        region all(1, 1);
        all.executors[0]->model().faults().cross = 1;
        const auto crossed = all.send("e0", "t1");
        all.finish();
        all.executors[0]->model().faults().truncate = 1;
        const auto truncated = all.send("e0", "t2");
        all.finish();
        for (const auto& answer : {crossed, truncated}) {
            CPPUNIT_ASSERT_EQUAL(502, answer->response.status);
            CPPUNIT_ASSERT(says(*answer, R"("ran": "unknown")"));
            CPPUNIT_ASSERT(!says(*answer, "someone-else"));
        }
    }

    void a_refusal_before_running_is_tried_elsewhere() {
        region all(1, 2);
        all.executors[0]->model().faults().refuse = true;
        for (int i = 0; i < 4; ++i) {
            const std::string id = "t" + std::to_string(i);
            const auto answer = all.send("e0", id);
            all.finish();
            CPPUNIT_ASSERT_EQUAL(200, answer->response.status);
            CPPUNIT_ASSERT_EQUAL(1, all.runs(id));
        }
    }

    void an_entry_without_executors_forwards() {
        region all(2, 1);
        for (const std::string node : {"e0", "e1"}) {
            const auto ticket = all.send(node, "t-" + node);
            const auto read = all.send(node, "r-" + node, {idempotent});
            all.finish();
            CPPUNIT_ASSERT_EQUAL(200, ticket->response.status);
            CPPUNIT_ASSERT_EQUAL(200, read->response.status);
            CPPUNIT_ASSERT_EQUAL(1, all.runs("t-" + node));
        }
    }

    // The entry that issued a ticket is killed before it answered, and is started again. It has
    // forgotten everything, and the others know only that it claimed the ticket.
    void a_killed_entry_leaves_no_second_run() {
        region all(3, 1);
        all.send("e0", "t1", {}, R"({"work_ms": 1})");
        all.finish();
        all.kill("e0");
        const auto while_dead = all.send("e1", "t1");
        all.finish();
        all.start("e0", 2, false);
        fake_peers::exchange_heartbeats(all.network);
        const auto reborn = all.send("e0", "t1");
        all.finish();
        CPPUNIT_ASSERT_EQUAL(1, all.runs("t1"));
        CPPUNIT_ASSERT(says(*while_dead, R"("ran": "unknown")"));
        CPPUNIT_ASSERT(says(*reborn, R"("ran": "unknown")"));
        // Two of three still vouch for new tickets.
        const auto fresh = all.send("e0", "t2");
        all.finish();
        CPPUNIT_ASSERT_EQUAL(200, fresh->response.status);
    }

    // The entry that issues the ticket dies while a resend waits at another for its answer. The
    // clerk would wait until the deadline for an answer that can't come.
    void a_holder_that_dies_keeps_no_resend_waiting() {
        region all(3, 8);
        const auto lost = all.send("e0", "t1", {}, R"({"work_ms": 2000})");
        const auto resend = all.send("e1", "t1");
        const auto cut = all.loop.after(100ms, [&all] {
            all.network.cut = {"e0"};
            all.entries.at("e0").peers->note_state(member_state::suspect);
        });
        bool before_the_run_ended = false;
        const auto watch = all.loop.every(5ms, [&] {
            const bool answered = resend->outcome == call_outcome::answered;
            if (answered && lost->outcome != call_outcome::answered)
                before_the_run_ended = true;
        });
        all.finish();
        CPPUNIT_ASSERT(says(*resend, R"("name": "outcome_unknown", "ran": "unknown")"));
        CPPUNIT_ASSERT(before_the_run_ended);
        CPPUNIT_ASSERT_EQUAL(1, all.runs("t1"));
    }

    // A yard is cut off from the others with an executor of its own. It can't know what they ran.
    void a_cut_off_entry_does_not_guess() {
        region all(3, 8);
        all.network.cut = {"e0"};
        const auto unmarked = all.send("e0", "t1");
        const auto first = all.send("e0", "t2", {{"Figwinch-Attempt", "1"}});
        const auto resend = all.send("e1", "t3", {{"Figwinch-Attempt", "2"}});
        all.finish();
        CPPUNIT_ASSERT(says(*unmarked, R"("name": "cannot_claim", "ran": "unknown")"));
        CPPUNIT_ASSERT_EQUAL(0, all.runs("t1"));
        CPPUNIT_ASSERT_EQUAL(200, first->response.status);
        CPPUNIT_ASSERT(says(*resend, "cannot_claim"));
    }

    // Operators restart an entry while tickets are being issued through it.
    void a_stop_cuts_no_request() {
        region all(2, 2);
        const auto answers = all.send_many("e0", 8, "t", {}, R"({"work_ms": 50})");
        const auto stop = all.loop.after(20ms, [&all] {
            all.entries.at("e0").core->announce_stop();
            fake_peers::exchange_heartbeats(all.network);
            all.entries.at("e0").core->stop_taking();
            CPPUNIT_ASSERT(!all.entries.at("e0").core->is_drained());
        });
        all.finish();
        for (const auto& answer : answers)
            CPPUNIT_ASSERT_EQUAL(200, answer->response.status);
        CPPUNIT_ASSERT(all.entries.at("e0").core->is_drained());
    }

    // A ticket is issued through one entry, its answer is lost, and the resend reaches another that
    // is stopping. "Not run" would make the clerk issue a second ticket.
    void a_refusal_does_not_deny_a_run_elsewhere() {
        region all(2, 2);
        all.send("e0", "t1");
        all.send("e1", "r1", {idempotent});
        all.finish();
        all.entries.at("e1").core->stop_taking();
        const auto resend = all.send("e1", "t1");
        all.finish();
        CPPUNIT_ASSERT(says(*resend, R"("name": "entry_stopping", "ran": "unknown")"));
        CPPUNIT_ASSERT_EQUAL(1, all.runs("t1"));
    }

    void more_requests_than_slots_wait_and_are_answered() {
        region all(1, 1, 2);
        const auto answers = all.send_many("e0", 30, "r", {idempotent});
        all.finish();
        for (const auto& answer : answers)
            CPPUNIT_ASSERT_EQUAL(200, answer->response.status);
        CPPUNIT_ASSERT_EQUAL(2, all.executors[0]->model().max_busy());
    }

    // All executors belong to one entry, and more requests come to both entries than there are
    // slots. Those that waited where they came would not hear of free slots before the next
    // heartbeat.
    void requests_wait_where_the_slots_are() {
        region all(2, 1, 2);
        const auto first = all.send_many("e0", 30, "a", {idempotent});
        const auto second = all.send_many("e1", 30, "b", {idempotent});
        all.finish();
        for (const auto* answers : {&first, &second})
            for (const auto& answer : *answers)
                CPPUNIT_ASSERT_EQUAL(200, answer->response.status);
        CPPUNIT_ASSERT_EQUAL(2, all.executors[0]->model().max_busy());
    }

    // A job has moved: the scheduler that hashing names says that another owns it. Whichever is
    // asked first, the cancel has to reach the owner; while the owner is cut off, "not found" would
    // be false.
    void a_job_is_found_wherever_it_has_moved() {
        region all(1, 1);
        std::vector<std::unique_ptr<fake_peers>> schedulers;
        for (const std::string name : {"s1", "s2", "s3"}) {
            schedulers.push_back(
                std::make_unique<fake_peers>(all.network, name, member_role::scheduler, "lugo-1"));
            schedulers.back()->handle(
                pb::PeerRequest::kCancelJob,
                [name](const incarnation_id&, const pb::PeerRequest&, const auto& reply) {
                    pb::PeerReply answer;
                    answer.mutable_job()->set_state("cancelled");
                    if (name != "s2")
                        answer.set_code(number(name == "s1" ? result_code::no_scheduler
                                                            : result_code::not_found));
                    reply(answer);
                });
        }
        http_request cancel;
        cancel.method = http_method::del;
        cancel.path = "/v1/jobs/j1";
        cancel.headers.add("Figwinch-Customer", "lugo");
        const auto done = all.call("e0", cancel);
        all.finish();
        CPPUNIT_ASSERT_EQUAL(200, done->response.status);
        CPPUNIT_ASSERT(says(*done, "cancelled"));
        all.network.cut = {"s2"};
        const auto cut = all.call("e0", cancel);
        all.finish();
        CPPUNIT_ASSERT_EQUAL(503, cut->response.status);
    }

    void what_cannot_make_its_deadline_is_refused_at_once() {
        region all(1, 1, 1);
        const auto answers = all.send_many(
            "e0", 40, "r", {idempotent, {"Figwinch-Deadline-Ms", "100"}}, R"({"work_ms": 40})");
        all.finish();
        int refused = 0;
        for (const auto& answer : answers)
            refused += says(*answer, R"("name": "deadline_unreachable", "ran": "no")") ? 1 : 0;
        CPPUNIT_ASSERT(refused >= 30);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(entry_core_test);

} // namespace
} // namespace figwinch
