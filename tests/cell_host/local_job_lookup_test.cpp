#include "tests/cell/recovery_fixture.h"

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// How a host with a read replica counts the jobs that wait.
class local_job_lookup_test : public recovery_fixture {
    CPPUNIT_TEST_SUITE(local_job_lookup_test);
    CPPUNIT_TEST(waiting_jobs_are_counted_at_once_from_a_current_replica);
    CPPUNIT_TEST(a_replica_that_lags_is_read_to_its_end_before_it_counts);
    CPPUNIT_TEST(a_replica_that_cant_be_read_to_its_end_doesnt_count);
    CPPUNIT_TEST(a_replica_that_is_being_loaded_doesnt_count);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t jobs = 4;
    static constexpr duration caller_timeout = milliseconds(700);

    struct count {
        bool answered = false;
        std::optional<std::size_t> waiting;
    };

    static job_spec batch_job() { return cell_world::make_job({cell_world::make_step(2, 500)}); }
    std::size_t follower() const { return (world_.coordinator().value() + 1) % world_.hosts(); }
    sim_log& log_of(std::size_t host) { return world_.host(host)->way_to_log(); }
    std::shared_ptr<count> ask(std::size_t host) {
        auto told = std::make_shared<count>();
        world_.host(host)->member().jobs().count_waiting(
            queue_name("q"), world_.time().now() + caller_timeout,
            [told](std::optional<std::size_t> waiting) {
                *told = {true, waiting};
            });
        return told;
    }
    /// Submits jobs that no worker can begin.
    void submit_jobs() {
        for (auto& [name, entry] : world_.fleet().workers)
            entry.cut = true;
        for (const char* const id : {"a", "b", "c", "d"})
            world_.submit(*world_.coordinator(), id, batch_job());
    }

public:
    void waiting_jobs_are_counted_at_once_from_a_current_replica() {
        start_cell();
        submit_jobs();
        world_.time().run_for(seconds(4));
        const auto told = ask(follower());
        CPPUNIT_ASSERT(told->answered);
        CPPUNIT_ASSERT(told->waiting == jobs);
    }
    /// Guards against a count that leaves out jobs accepted long ago, because the host hasn't read
    /// the log for some time.
    void a_replica_that_lags_is_read_to_its_end_before_it_counts() {
        start_cell();
        const std::size_t host = follower();
        log_of(host).unreadable = cell_stream::intake;
        submit_jobs();
        world_.time().run_for(seconds(4));
        log_of(host).unreadable.reset();
        const auto told = ask(host);
        world_.time().run_for(caller_timeout + milliseconds(50));
        CPPUNIT_ASSERT(told->answered);
        // A read that was on its way may use up the caller's time, but never yields a low count.
        CPPUNIT_ASSERT(!told->waiting || *told->waiting == jobs);
        const auto again = ask(host);
        world_.time().run_for(caller_timeout);
        CPPUNIT_ASSERT(again->waiting == jobs);
    }
    /// Guards against the same from a host that the log doesn't answer.
    void a_replica_that_cant_be_read_to_its_end_doesnt_count() {
        start_cell();
        const std::size_t host = follower();
        log_of(host).unreadable = cell_stream::intake;
        submit_jobs();
        world_.time().run_for(seconds(4));
        const auto told = ask(host);
        world_.time().run_for(caller_timeout + milliseconds(50));
        CPPUNIT_ASSERT(told->answered);
        CPPUNIT_ASSERT(!told->waiting);
    }
    /// Guards against counting the jobs of the pages that have been read so far.
    void a_replica_that_is_being_loaded_doesnt_count() {
        start_cell();
        submit_jobs();
        world_.time().run_for(seconds(1));
        const std::size_t host = follower();
        world_.kill_host(host);
        world_.start_host(host);
        log_of(host).unreadable = cell_stream::intake;
        world_.time().run_for(seconds(1));
        const auto told = ask(host);
        world_.time().run_for(caller_timeout + milliseconds(50));
        CPPUNIT_ASSERT(told->answered);
        CPPUNIT_ASSERT(!told->waiting);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(local_job_lookup_test);

} // namespace
} // namespace figwinch::sim
