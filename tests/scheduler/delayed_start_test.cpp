#include "tools/standin_worker/worker_model.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch::testing {
namespace {

using namespace std::chrono_literals;

/// What a worker must refuse because it comes late.
class delayed_start_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(delayed_start_test);
    CPPUNIT_TEST(a_start_of_a_lost_lease_is_refused_under_the_next);
    CPPUNIT_TEST(a_start_that_was_held_up_is_refused);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::int64_t lease_ms = 15'000;

    manual_clock time_;
    standin::worker_model worker_{{worker_id("w"), {4000, 8192, 0}}, time_.now()};

    pb::WorkerReply acquire(std::uint64_t serial) {
        pb::WorkerCommand command;
        command.set_holder("s#1");
        command.mutable_acquire()->set_holder("s#1");
        command.mutable_acquire()->set_duration_ms(lease_ms);
        command.mutable_acquire()->set_serial(serial);
        return worker_.handle(command, time_.now());
    }

    void renew(std::uint64_t epoch, std::uint64_t serial) {
        pb::WorkerCommand command;
        command.set_holder("s#1");
        command.set_epoch(epoch);
        command.mutable_renew()->set_holder("s#1");
        command.mutable_renew()->set_epoch(epoch);
        command.mutable_renew()->set_duration_ms(lease_ms);
        command.mutable_renew()->set_serial(serial);
        CPPUNIT_ASSERT_EQUAL(0, worker_.handle(command, time_.now()).code());
    }

    int start(std::uint64_t epoch, std::uint64_t after_serial) {
        pb::WorkerCommand command;
        command.set_holder("s#1");
        command.set_epoch(epoch);
        pb::StartTask& ask = *command.mutable_start();
        ask.mutable_key()->set_task("studio/render/0");
        ask.mutable_key()->set_attempt(1);
        ask.mutable_size()->set_cpu_millis(1000);
        ask.set_lease_ms(30'000);
        ask.set_after_serial(after_serial);
        ask.set_within_ms(2000);
        return worker_.handle(command, time_.now()).code();
    }

    // A worker is frozen with a start in its socket. Its holder gives the attempt up after a whole
    // lapse, runs the task elsewhere and takes the lease of the woken worker again. If that gave it
    // the same epoch, the old start would be valid again, and the task would run in two places
    // (seed 104674 of many_faults_at_once).
    void a_start_of_a_lost_lease_is_refused_under_the_next() {
        const std::uint64_t first = acquire(1).epoch();
        time_.advance(60s);
        const std::uint64_t second = acquire(2).epoch();
        CPPUNIT_ASSERT(second > first);
        CPPUNIT_ASSERT_EQUAL(number(result_code::lease_stale_epoch), start(first, 1));
    }

    // A worker is frozen for nine seconds, less than its lease. Meanwhile its data centre is taken
    // out. When it wakes it finds renewals in its socket, and a start from before (seed 100630 of
    // many_faults_at_once; 101057 with a cancelled job).
    void a_start_that_was_held_up_is_refused() {
        const std::uint64_t epoch = acquire(1).epoch();
        time_.advance(9s);
        renew(epoch, 2);
        CPPUNIT_ASSERT_EQUAL(number(result_code::start_too_late), start(epoch, 1));
        CPPUNIT_ASSERT_EQUAL(0, start(epoch, 2));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(delayed_start_test);

} // namespace
} // namespace figwinch::testing
