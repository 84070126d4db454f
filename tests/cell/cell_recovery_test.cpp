#include "tests/cell/cell_world.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Recovery of jobs and tasks after the loss of a coordinator, of a worker, or of all hosts.
class cell_recovery_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(cell_recovery_test);
    CPPUNIT_TEST(an_accepted_job_outlives_the_power_of_all_hosts);
    CPPUNIT_TEST(running_tasks_go_on_under_the_next_coordinator);
    CPPUNIT_TEST(a_fenced_predecessor_can_order_nothing);
    CPPUNIT_TEST(tasks_of_a_worker_lost_for_good_run_elsewhere_after_its_lease);
    CPPUNIT_TEST(what_a_predecessor_may_have_held_is_counted_from_its_last_renewal);
    CPPUNIT_TEST(a_term_between_doesnt_end_the_leases_of_the_one_before_it);
    CPPUNIT_TEST(a_late_failure_of_an_earlier_run_counts);
    CPPUNIT_TEST(a_run_of_a_job_that_is_not_read_yet_is_left_alone);
    CPPUNIT_TEST(service_tasks_leave_a_worker_that_leaves);
    CPPUNIT_TEST(nothing_starts_in_a_data_centre_that_was_taken_out);
    CPPUNIT_TEST(a_store_that_forgets_its_history_loses_no_job);
    CPPUNIT_TEST(a_partitioned_coordinator_doesnt_count_on_lease_expiry);
    CPPUNIT_TEST(tasks_that_stand_still_are_moved);
    CPPUNIT_TEST(people_see_why_a_job_waits);
    CPPUNIT_TEST(a_resend_is_the_same_job);
    CPPUNIT_TEST(a_refused_submission_never_runs);
    CPPUNIT_TEST(a_caller_is_not_held_while_the_log_is_silent);
    CPPUNIT_TEST(a_caller_is_not_held_when_a_silent_log_comes_back_refusing);
    CPPUNIT_TEST(a_lost_answer_of_the_log_costs_one_more_append);
    CPPUNIT_TEST(members_of_a_gang_start_together);
    CPPUNIT_TEST_SUITE_END();

    cell_world world_{7, 3, 4};

    static job_spec service_job(std::uint32_t tasks) {
        step_spec step = cell_world::make_step(tasks, 1000);
        step.is_service = true;
        return cell_world::make_job({step});
    }
    static job_spec short_job(std::uint32_t tasks) {
        return cell_world::make_job({cell_world::make_step(tasks, 500)});
    }
    static std::string task(const std::string& job, std::uint32_t index) {
        return job + ".0.0." + std::to_string(index);
    }
    void assert_invariants() {
        if (!world_.checker().violations.empty())
            CPPUNIT_FAIL(world_.checker().violations.front());
    }
    void start_cell() {
        world_.checker().failure_probability = 0;
        world_.time().run_for(seconds(2));
    }
    std::string phase(const std::string& id) {
        const job_entry* const job = world_.job(0, id);
        return job == nullptr ? "unknown" : to_string(job->phase);
    }

public:
    /// All hosts lose power in the millisecond after a caller's job was accepted. After their
    /// restart the job must still be known and run.
    void an_accepted_job_outlives_the_power_of_all_hosts() {
        start_cell();
        const auto reply = world_.submit(1, "a", short_job(3));
        while (!reply->has_value())
            world_.time().run_for(milliseconds(1));
        CPPUNIT_ASSERT(**reply == intake_outcome::stored);
        for (std::size_t host = 0; host < 3; ++host)
            world_.kill_host(host);
        world_.time().run_for(seconds(1));
        for (std::size_t host = 0; host < 3; ++host)
            world_.start_host(host);
        world_.time().run_for(seconds(16));
        CPPUNIT_ASSERT_EQUAL(std::string("succeeded"), phase("a"));
        assert_invariants();
    }
    /// The coordinator is killed while tasks run. Its successor must find them on the workers and
    /// let them continue instead of starting them again.
    void running_tasks_go_on_under_the_next_coordinator() {
        start_cell();
        world_.submit(0, "a", service_job(6));
        world_.time().run_for(seconds(2));
        const std::uint64_t starts = world_.checker().starts;
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, starts);
        for (int round = 0; round < 3; ++round) {
            const std::size_t first = *world_.coordinator();
            world_.kill_host(first);
            world_.time().run_for(milliseconds(2500));
            CPPUNIT_ASSERT(world_.coordinator().has_value());
            world_.start_host(first);
            world_.time().run_for(seconds(8));
        }
        CPPUNIT_ASSERT_EQUAL(starts, world_.checker().starts);
        assert_invariants();
    }
    /// A coordinator freezes for longer than the takeover timeout. When it resumes it still
    /// believes that it is coordinator; workers and log must refuse its orders by their epoch.
    void a_fenced_predecessor_can_order_nothing() {
        start_cell();
        const std::size_t first = *world_.coordinator();
        world_.host(first)->freeze_for(seconds(4));
        world_.time().run_for(milliseconds(3900));
        const std::size_t second = *world_.coordinator() == first ? 3 : *world_.coordinator();
        world_.submit((first + 1) % 3, "a", short_job(4));
        world_.time().run_for(seconds(12));
        CPPUNIT_ASSERT(second != first);
        CPPUNIT_ASSERT(!world_.host(first)->member().election().is_leader());
        CPPUNIT_ASSERT_EQUAL(std::string("succeeded"), phase("a"));
        assert_invariants();
    }
    /// A worker is lost for good. If each unanswered lease renewal postponed the expected lease
    /// expiry, its tasks would never be started elsewhere.
    void tasks_of_a_worker_lost_for_good_run_elsewhere_after_its_lease() {
        start_cell();
        world_.submit(0, "a", service_job(8));
        world_.time().run_for(seconds(3));
        world_.fleet().workers.at("w1").cut = true;
        world_.fleet().workers.at("w1").worker->reborn();
        world_.time().run_for(seconds(3));
        world_.unlist_worker("w1");
        world_.time().run_for(milliseconds(5500));
        for (std::uint32_t index = 0; index < 8; ++index)
            CPPUNIT_ASSERT(world_.checker().is_running(task("a", index)));
        assert_invariants();
    }
    /// The log is unavailable to all hosts for 6 s, and a worker is lost meanwhile. Its lease
    /// expires at the latest 5 s (for how long a coordinator acts without the log) plus one lease
    /// after the last renewal in the log. Counting from the successor's claim instead delays the
    /// tasks by 7 s.
    void what_a_predecessor_may_have_held_is_counted_from_its_last_renewal() {
        start_cell();
        world_.submit(0, "a", service_job(8));
        world_.time().run_for(seconds(3));
        const auto all_ways = [this](sim_log::way state) {
            for (std::size_t host = 0; host < 3; ++host)
                world_.host(host)->way_to_log().state = state;
        };
        all_ways(sim_log::way::silent);
        world_.time().run_for(milliseconds(4500));
        world_.fleet().workers.at("w1").cut = true;
        world_.fleet().workers.at("w1").worker->reborn();
        world_.time().run_for(milliseconds(1500));
        all_ways(sim_log::way::open);
        world_.time().run_for(seconds(7));
        assert_invariants();
        for (std::uint32_t index = 0; index < 8; ++index)
            CPPUNIT_ASSERT(world_.checker().is_running(task("a", index)));
    }
    /// A coordinator loses the log but still reaches a worker that no other host reaches, and
    /// renews that worker's lease for 5 s. Its successor resigns within a second, as in a rolling
    /// restart. A third coordinator that counts the lease from that resignation would start the
    /// tasks elsewhere while they still run.
    void a_term_between_doesnt_end_the_leases_of_the_one_before_it() {
        start_cell();
        world_.submit(0, "a", service_job(8));
        world_.time().run_for(seconds(3));
        const std::size_t partitioned = *world_.coordinator();
        for (std::size_t host = 0; host < 3; ++host)
            if (host != partitioned)
                world_.host(host)->way_to_workers().cut_from.insert("w0");
        world_.host(partitioned)->way_to_log().state = sim_log::way::silent;
        std::optional<std::size_t> between;
        for (int step = 0; step < 40 && (!between || *between == partitioned); ++step) {
            world_.time().run_for(milliseconds(100));
            for (std::size_t host = 0; host < 3; ++host)
                if (host != partitioned && world_.host(host)->member().coordinating() != nullptr)
                    between = host;
        }
        CPPUNIT_ASSERT(between && *between != partitioned);
        world_.host(*between)->member().resign();
        world_.time().run_for(seconds(12));
        assert_invariants();
    }
    /// A run fails on an unreachable worker, a later run of the task fails elsewhere, then the
    /// first failure is reported. The late report must count although its run number is lower;
    /// otherwise the task gets one attempt too many.
    void a_late_failure_of_an_earlier_run_counts() {
        start_cell();
        world_.checker().failure_probability = 1;
        world_.submit(0, "a", short_job(1));
        world_.time().run_for(milliseconds(150));
        std::string cut;
        for (auto& [name, entry] : world_.fleet().workers)
            if (entry.worker->running() > 0)
                cut = name;
        CPPUNIT_ASSERT(!cut.empty());
        world_.fleet().workers.at(cut).cut = true;
        world_.time().run_for(seconds(8));
        world_.fleet().workers.at(cut).cut = false;
        world_.time().run_for(seconds(15));
        CPPUNIT_ASSERT_EQUAL(std::string("failed"), phase("a"));
        assert_invariants();
    }
    /// A job is accepted and started just before the coordinator resigns. The successor sees the
    /// runs on workers before it has read the job; it must neither stop them as orphaned runs nor
    /// start them again.
    void a_run_of_a_job_that_is_not_read_yet_is_left_alone() {
        start_cell();
        for (int round = 0; round < 6; ++round) {
            const std::size_t first = *world_.coordinator();
            world_.submit(first, "r" + std::to_string(round), service_job(2));
            world_.time().run_for(milliseconds(30 + 10 * round));
            world_.host(first)->member().resign();
            world_.time().run_for(milliseconds(800));
            world_.kill_host(first);
            world_.start_host(first);
            world_.time().run_for(seconds(3));
        }
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{12}, world_.checker().starts);
        assert_invariants();
    }
    void service_tasks_leave_a_worker_that_leaves() {
        start_cell();
        world_.submit(0, "a", service_job(8));
        world_.time().run_for(seconds(2));
        world_.list_worker("w2", "leaving");
        world_.time().run_for(seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, world_.fleet().workers.at("w2").worker->running());
        for (std::uint32_t index = 0; index < 8; ++index)
            CPPUNIT_ASSERT(world_.checker().is_running(task("a", index)));
        assert_invariants();
    }
    void nothing_starts_in_a_data_centre_that_was_taken_out() {
        start_cell();
        for (const char* const name : {"out/dc-0", "out/dc-1"})
            world_.store().append(cell_stream::operators, {{name, "{}", 0}}, {});
        world_.time().run_for(milliseconds(500));
        world_.submit(0, "a", short_job(4));
        world_.time().run_for(seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world_.checker().starts);
        for (const char* const name : {"out/dc-0", "out/dc-1"})
            world_.store().append(cell_stream::operators, {{name, std::nullopt, 0}}, {});
        world_.time().run_for(seconds(5));
        CPPUNIT_ASSERT_EQUAL(std::string("succeeded"), phase("a"));
    }
    void a_store_that_forgets_its_history_loses_no_job() {
        start_cell();
        world_.submit(0, "a", service_job(2));
        world_.submit(1, "b", short_job(4));
        world_.time().run_for(milliseconds(300));
        world_.store().compact();
        world_.kill_host(*world_.coordinator());
        world_.store().compact();
        world_.time().run_for(seconds(12));
        for (std::size_t host = 0; host < 3; ++host) {
            if (world_.host(host) == nullptr)
                continue;
            CPPUNIT_ASSERT(world_.job(host, "a") != nullptr);
            CPPUNIT_ASSERT(world_.job(host, "b")->phase == job_phase::succeeded);
        }
        assert_invariants();
    }
    /// A network partition cuts off the coordinator with two of the four workers, and later also
    /// from the log. The others elect a successor, which renews the leases of the other two
    /// workers. By the old coordinator's clock those leases expire; if it then restarted their
    /// tasks on its own workers, they would run twice.
    void a_partitioned_coordinator_doesnt_count_on_lease_expiry() {
        start_cell();
        world_.submit(0, "a", service_job(8));
        world_.time().run_for(seconds(3));
        const std::size_t partitioned = *world_.coordinator();
        for (std::size_t host = 0; host < 3; ++host)
            for (const char* const worker : {"w0", "w1", "w2", "w3"})
                if ((host == partitioned) != (std::string(worker) < "w2"))
                    world_.host(host)->way_to_workers().cut_from.insert(worker);
        world_.time().run_for(milliseconds(2500));
        world_.host(partitioned)->way_to_log().state = sim_log::way::silent;
        world_.time().run_for(seconds(7));
        assert_invariants();
        world_.host(partitioned)->way_to_log().state = sim_log::way::open;
        for (std::size_t host = 0; host < 3; ++host)
            world_.host(host)->way_to_workers().cut_from.clear();
        world_.time().run_for(seconds(14));
        for (std::uint32_t index = 0; index < 8; ++index)
            CPPUNIT_ASSERT(world_.checker().is_running(task("a", index)));
        assert_invariants();
    }
    /// A worker responds and reports, but its runs make no progress. Unless the coordinator
    /// compares the reported progress over time, the job never ends.
    void tasks_that_stand_still_are_moved() {
        start_cell();
        world_.fleet().workers.at("w2").worker->hangs = true;
        world_.submit(0, "a", short_job(16));
        world_.time().run_for(seconds(9));
        CPPUNIT_ASSERT_EQUAL(std::string("succeeded"), phase("a"));
        assert_invariants();
    }
    /// One job occupies all workers, another needs a label that no worker has, a third needs more
    /// room than is free. The coordinator's view must give the reason why each of the last two
    /// waits.
    void people_see_why_a_job_waits() {
        start_cell();
        world_.submit(0, "a", service_job(16));
        world_.time().run_for(seconds(1));
        step_spec labelled = cell_world::make_step(1, 500);
        labelled.label = "rare";
        world_.submit(0, "b", cell_world::make_job({labelled}));
        world_.submit(0, "c", short_job(1));
        world_.time().run_for(seconds(1));
        const coordinator_view shown =
            world_.host(*world_.coordinator())->member().coordinating()->view();
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, shown.workers.size());
        CPPUNIT_ASSERT(shown.workers[0].status == worker_status::usable);
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, shown.workers[0].tasks);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, shown.jobs.size());
        std::map<std::string, wait_reason> waits;
        for (const job_view& job : shown.jobs)
            waits[job.id.str()] = job.waits_for;
        CPPUNIT_ASSERT(waits.at("a") == wait_reason::none);
        CPPUNIT_ASSERT(waits.at("b") == wait_reason::no_label);
        CPPUNIT_ASSERT(waits.at("c") == wait_reason::no_room);
    }
    /// A caller sends a job again at another host, seconds after the first host accepted it.
    void a_resend_is_the_same_job() {
        start_cell();
        world_.submit(0, "a", short_job(2));
        world_.time().run_for(milliseconds(100));
        world_.submit(1, "a", short_job(2));
        world_.time().run_for(seconds(6));
        world_.submit(2, "a", short_job(2));
        world_.time().run_for(seconds(6));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, world_.checker().starts);
        CPPUNIT_ASSERT_EQUAL(std::string("succeeded"), phase("a"));
    }
    /// An append gets no answer and its retry is refused: the log is back, but not for this host.
    /// The caller must get an answer before its deadline, so that it can try another host, and the
    /// answer must be "unknown", since the first append may have been stored.
    void a_caller_is_not_held_when_a_silent_log_comes_back_refusing() {
        start_cell();
        world_.host(0)->way_to_log().state = sim_log::way::silent;
        const auto reply = world_.submit(0, "a", short_job(1));
        world_.time().run_for(milliseconds(300));
        world_.host(0)->way_to_log().state = sim_log::way::refused;
        // The first append times out after 0.8 s.
        world_.time().run_for(milliseconds(900));
        CPPUNIT_ASSERT(reply->has_value());
        CPPUNIT_ASSERT(**reply == intake_outcome::unknown);
    }
    /// The log refuses a job and the caller is told so. The job must never run.
    void a_refused_submission_never_runs() {
        start_cell();
        for (std::size_t host = 0; host < 3; ++host)
            world_.host(host)->way_to_log().state = sim_log::way::refused;
        const auto reply = world_.submit(0, "a", short_job(2));
        world_.time().run_for(milliseconds(200));
        CPPUNIT_ASSERT(reply->has_value());
        CPPUNIT_ASSERT(**reply == intake_outcome::not_stored);
        for (std::size_t host = 0; host < 3; ++host)
            world_.host(host)->way_to_log().state = sim_log::way::open;
        world_.time().run_for(seconds(6));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world_.checker().starts);
    }
    /// The log doesn't answer. A caller that is held until just before its deadline of 3 s has no
    /// time left to try another host, so it must be told earlier that the outcome is unknown.
    void a_caller_is_not_held_while_the_log_is_silent() {
        start_cell();
        for (std::size_t host = 0; host < 3; ++host)
            world_.host(host)->way_to_log().state = sim_log::way::silent;
        const auto reply = world_.submit(0, "a", short_job(1));
        // The host gives up after two append attempts, each with a timeout of 0.8 s.
        world_.time().run_for(milliseconds(1700));
        CPPUNIT_ASSERT(reply->has_value());
        CPPUNIT_ASSERT(**reply == intake_outcome::unknown);
        CPPUNIT_ASSERT(!world_.host(0)->member().log_answers());
    }
    /// The log stores a job but its answer is lost. The retried append succeeds: the caller must be
    /// told that the job is accepted, and the job must run once.
    void a_lost_answer_of_the_log_costs_one_more_append() {
        start_cell();
        world_.host(0)->way_to_log().lost_answers = 1;
        const auto reply = world_.submit(0, "a", short_job(2));
        world_.time().run_for(milliseconds(400));
        world_.host(0)->way_to_log().lost_answers = 0;
        world_.time().run_for(milliseconds(700));
        CPPUNIT_ASSERT(reply->has_value());
        CPPUNIT_ASSERT(**reply == intake_outcome::stored);
        world_.time().run_for(seconds(6));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, world_.checker().starts);
    }
    void members_of_a_gang_start_together() {
        start_cell();
        step_spec step = cell_world::make_step(6, 1500);
        step.gang = true;
        world_.submit(0, "a", cell_world::make_job({step}));
        world_.time().run_for(milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, world_.checker().starts);
        // A gang needs nine cores of sixteen, so that the second gang must wait for the first.
        world_.submit(0, "b", cell_world::make_job({step}));
        world_.time().run_for(milliseconds(150));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{6}, world_.checker().starts);
        world_.time().run_for(seconds(6));
        CPPUNIT_ASSERT_EQUAL(std::string("succeeded"), phase("b"));
        assert_invariants();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(cell_recovery_test);

} // namespace
} // namespace figwinch::sim
