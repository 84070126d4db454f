#include "figwinch/lease.h"
#include "tools/standin_worker/worker_model.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace figwinch {
namespace {

using namespace std::chrono_literals;

/// Keeps what it is told of ends.
class recording_listener final : public worker_lease_listener {
public:
    void on_held(const leased_worker&) override {}
    void on_listed(const leased_worker&, instant) override {}
    void on_lost(const leased_worker&) override { ++lost; }
    void on_found(const leased_worker&, const task_id&, const held_task&) override { ++found; }
    void on_ended(const leased_worker&, const pb::EndedTask&) override { ++ended; }
    void on_gone(const leased_worker&, const task_id&, attempt_number) override { ++gone; }
    void on_room(const leased_worker&) override {}
    bool may_acknowledge(const pb::EndedTask&) const override { return true; }

    int lost = 0;
    int found = 0;
    int ended = 0;
    int gone = 0;
};

class worker_lease_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(worker_lease_table_test);
    CPPUNIT_TEST(a_holder_that_slept_past_its_lease_starts_nothing);
    CPPUNIT_TEST(a_start_without_an_answer_keeps_its_room);
    CPPUNIT_TEST(tasks_on_a_silent_worker_are_gone_only_after_their_leases);
    CPPUNIT_TEST(a_lease_that_is_being_released_is_not_held);
    CPPUNIT_TEST_SUITE_END();

    manual_clock time_;
    recording_listener heard_;
    worker_lease_table table_{lease_settings{}, node_id("s"), incarnation_id("s#1"), heard_};
    standin::worker_model worker_{{worker_id("w"), {4000, 4096, 0}}, time_.now()};
    const worker_id name_{"w"};

    /// Carries commands to the worker and, unless they are lost, its replies back.
    void exchange(bool replies_lost = false) {
        for (const worker_command& command : table_.due(time_.now())) {
            const pb::WorkerReply reply = worker_.handle(command.body, time_.now());
            if (replies_lost)
                table_.on_no_reply(command.token, time_.now());
            else
                table_.on_reply(command.token, reply, time_.now());
        }
    }

    void hold() {
        table_.set_workers({worker_spec{name_, {}, {}, "", {4000, 4096, 0}, ""}}, time_.now());
        table_.set_schedulers({node_id("s")}, time_.now());
        exchange();
        CPPUNIT_ASSERT(table_.may_start(name_, time_.now()));
    }

    void start(const std::string& task) {
        pb::StartTask ask;
        ask.mutable_key()->set_task(task);
        ask.mutable_key()->set_attempt(1);
        ask.mutable_size()->set_cpu_millis(3000);
        ask.set_work_ms(3'600'000);
        ask.set_lease_ms(30'000);
        table_.start(name_, ask, time_.now());
    }

    // A scheduler decides to start a task and is frozen for longer than its lease before the
    // command leaves. Another holds the worker when it wakes.
    void a_holder_that_slept_past_its_lease_starts_nothing() {
        hold();
        start("c/j/0");
        time_.advance(16s);
        CPPUNIT_ASSERT(!table_.may_start(name_, time_.now()));
        for (const worker_command& command : table_.due(time_.now()))
            CPPUNIT_ASSERT(!command.body.has_start());
        CPPUNIT_ASSERT_EQUAL(1, heard_.lost);
    }

    // The reply to a start is lost though the task runs. A scheduler that took the room back would
    // put a second task there.
    void a_start_without_an_answer_keeps_its_room() {
        hold();
        start("c/j/0");
        exchange(true);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1000}, table_.find(name_)->room().cpu_millis);
        time_.advance(1s);
        exchange();
        CPPUNIT_ASSERT_EQUAL(1, worker_.histories().at("c/j/0").starts);
        CPPUNIT_ASSERT_EQUAL(std::int64_t{1000}, table_.find(name_)->room().cpu_millis);
    }

    // A worker stops answering while renewals still reach it. Its task is tried elsewhere only when
    // nothing has been sent for longer than the task's lease.
    void tasks_on_a_silent_worker_are_gone_only_after_their_leases() {
        hold();
        start("c/j/0");
        exchange();
        for (int second = 0; second < 120 && heard_.gone == 0; ++second) {
            time_.advance(1s);
            exchange(true);
            worker_.advance(time_.now());
        }
        CPPUNIT_ASSERT_EQUAL(1, heard_.gone);
        CPPUNIT_ASSERT(worker_.running().empty());
        CPPUNIT_ASSERT(table_.is_quiet(name_, time_.now()));
    }

    // A scheduler gives a lease back and the answer is lost. From then on another may hold the
    // worker, and what the first knows of it proves nothing.
    void a_lease_that_is_being_released_is_not_held() {
        hold();
        table_.release_all(time_.now());
        exchange(true);
        CPPUNIT_ASSERT(!table_.is_held(name_, time_.now()));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_lease_table_test);

} // namespace
} // namespace figwinch
