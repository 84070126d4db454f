#include "tests/cell/recovery_fixture.h"

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// How soon tasks of a lost worker run again, and what the log records of workers.
class worker_loss_test : public recovery_fixture {
    CPPUNIT_TEST_SUITE(worker_loss_test);
    CPPUNIT_TEST(tasks_of_a_lost_worker_run_again_within_its_lease);
    CPPUNIT_TEST(tasks_of_a_lost_worker_run_again_after_a_change_of_coordinator);
    CPPUNIT_TEST(tasks_of_a_lost_worker_run_again_after_the_coordinators_host_is_lost);
    CPPUNIT_TEST(tasks_of_a_worker_that_is_lost_with_the_coordinators_host_run_again);
    CPPUNIT_TEST(an_outage_of_the_log_ends_no_task);
    CPPUNIT_TEST(a_task_isnt_started_again_on_a_worker_that_has_just_gone);
    CPPUNIT_TEST(a_task_whose_worker_is_lost_at_its_start_runs_elsewhere_in_time);
    CPPUNIT_TEST(a_task_whose_start_reached_one_incarnation_at_most_waits_for_the_lease_only);
    CPPUNIT_TEST(best_effort_service_tasks_dont_wait_for_cpu);
    CPPUNIT_TEST(records_without_workers_allow_runs_on_any_worker);
    CPPUNIT_TEST(resources_are_reserved_for_service_tasks_that_are_down);
    CPPUNIT_TEST_SUITE_END();

    /// Removes the workers from all progress records, as a version that did not record them wrote.
    void erase_recorded_workers() {
        sim_store::stream& progress = world_.store().of(cell_stream::progress);
        for (auto& [key, kept] : progress.newest) {
            auto job = key.front() == static_cast<char>(record_kind::progress) && kept.value
                           ? decode_progress(*kept.value)
                           : std::nullopt;
            if (!job)
                continue;
            for (auto& [number, occurrence] : job->occurrences)
                for (std::vector<task_progress>& tasks : occurrence.steps)
                    for (task_progress& of : tasks)
                        of.assigned_worker = worker_id();
            kept.value = encode_progress(*job);
        }
        world_.store().compact();
    }

    /// Loses a worker and, after `later`, the coordinator's host, for good.
    void lose_worker_and_coordinator(duration later) {
        start_cell();
        world_.submit(0, "a", service_job(8));
        world_.time().run_for(seconds(3));
        lose_worker("w1");
        world_.time().run_for(later);
        world_.kill_host(*world_.coordinator());
        world_.time().run_for(max_down_time_after_loss - later);
        assert_all_run("a", 8);
        assert_invariants();
    }

public:
    /// A worker that grants leases of 10 s is lost for good. Guards against service tasks that are
    /// down for 10 s although other workers have room.
    void tasks_of_a_lost_worker_run_again_within_its_lease() {
        start_cell();
        world_.submit(0, "a", service_job(8));
        world_.time().run_for(seconds(3));
        lose_worker("w1");
        world_.time().run_for(max_down_time_after_loss);
        assert_all_run("a", 8);
        assert_invariants();
    }
    /// A worker is lost for good, and the coordinator's process restarts a second later. Guards
    /// against a successor that waits for a full lease from the start of its own term, 11 s from
    /// the loss.
    void tasks_of_a_lost_worker_run_again_after_a_change_of_coordinator() {
        start_cell();
        world_.submit(0, "a", service_job(8));
        world_.time().run_for(seconds(3));
        lose_worker("w1");
        world_.time().run_for(seconds(1));
        const std::size_t first = *world_.coordinator();
        world_.kill_host(first);
        world_.start_host(first);
        world_.time().run_for(max_down_time_after_loss - seconds(1));
        assert_all_run("a", 8);
        assert_invariants();
    }
    /// Guards against tasks of a lost worker that wait for everything that a lost coordinator may
    /// have done without the log.
    void tasks_of_a_lost_worker_run_again_after_the_coordinators_host_is_lost() {
        lose_worker_and_coordinator(seconds(1));
    }
    /// Guards against tasks of a lost worker that wait for everything that a lost coordinator may
    /// have done without the log, where nobody has noticed yet that the worker is unresponsive.
    void tasks_of_a_worker_that_is_lost_with_the_coordinators_host_run_again() {
        lose_worker_and_coordinator(duration::zero());
    }
    /// Guards against leases that expire because the log is unavailable for a while.
    void an_outage_of_the_log_ends_no_task() {
        start_cell();
        world_.submit(0, "a", service_job(8));
        world_.time().run_for(seconds(3));
        for (std::size_t host = 0; host < world_.hosts(); ++host)
            world_.host(host)->way_to_log().state = sim_log::way::silent;
        world_.time().run_for(milliseconds(7500));
        for (std::size_t host = 0; host < world_.hosts(); ++host)
            world_.host(host)->way_to_log().state = sim_log::way::open;
        world_.time().run_for(seconds(5));
        assert_all_run("a", 8);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, world_.checker().starts);
        assert_invariants();
    }
    /// A worker is lost, and a moment later a service task fails on another. Guards against
    /// restarting the task on the lost worker, which has the most free resources and is not known
    /// to be unresponsive: the task was down until that start order had expired, 10 s later,
    /// because placement did not prefer workers that had just answered.
    void a_task_isnt_started_again_on_a_worker_that_has_just_gone() {
        start_cell();
        world_.submit(0, "a", service_job(7));
        world_.time().run_for(seconds(3));
        std::string least;
        for (const auto& [name, entry] : world_.fleet().workers)
            if (least.empty() || entry.worker->running() < worker(least).running())
                least = name;
        lose_worker(least);
        world_.time().run_for(milliseconds(1200));
        const std::string failing = task_on(least == "w0" ? "w2" : "w0", "a", 7);
        for (auto& [name, entry] : world_.fleet().workers)
            if (entry.worker->has(failing))
                entry.worker->fail_run(failing);
        world_.time().run_for(max_down_time);
        CPPUNIT_ASSERT(world_.checker().is_running(failing));
        assert_invariants();
    }
    /// Guards against waiting for an unanswered start order as long as the longest lease that
    /// workers grant.
    void a_task_whose_worker_is_lost_at_its_start_runs_elsewhere_in_time() {
        start_cell();
        world_.submit(0, "a", service_job(8));
        world_.time().run_for(seconds(3));
        const std::string failing = task_on("w0", "a", 8);
        bool lost = false;
        world_.fleet().on_start_sent = [&](const std::string& to, const std::string& started) {
            if (started == failing && !std::exchange(lost, true))
                lose_worker(to);
        };
        worker("w0").fail_run(failing);
        world_.time().run_for(max_down_time_after_loss);
        assert_all_run("a", 8);
        assert_invariants();
    }
    /// Guards against waiting for an unanswered start order as long as the longest lease, where
    /// only the intended incarnation of the worker can have received the order.
    void a_task_whose_start_reached_one_incarnation_at_most_waits_for_the_lease_only() {
        start_cell();
        world_.submit(0, "a", service_job(8));
        world_.time().run_for(seconds(3));
        const std::string failing = task_on("w0", "a", 8);
        bool lost = false;
        world_.fleet().reaches_one_incarnation = [](run_number) { return true; };
        world_.fleet().on_start_sent = [&](const std::string& to, const std::string& started) {
            if (started == failing && !std::exchange(lost, true))
                lose_worker(to);
        };
        worker("w0").fail_run(failing);
        world_.time().run_for(max_down_time_after_loss);
        assert_all_run("a", 8);
        assert_invariants();
    }
    /// Best-effort service tasks have taken all spare CPU for good. Guards against one more such
    /// task that waits forever, though best-effort tasks do not count against a worker's CPU.
    void best_effort_service_tasks_dont_wait_for_cpu() {
        start_cell();
        job_spec filling = service_job(5);
        filling.steps.front().is_best_effort = true;
        filling.steps.front().size.cpu_millis = 3500;
        world_.submit(0, "a", filling);
        world_.time().run_for(max_down_time);
        assert_all_run("a", 5);
        assert_invariants();
    }
    /// All hosts are replaced by a newer version while a worker is unreachable; the earlier version
    /// did not record workers. Guards against taking a missing record for unused workers: the tasks
    /// of the unreachable worker were started elsewhere while they ran there.
    void records_without_workers_allow_runs_on_any_worker() {
        start_cell();
        world_.submit(0, "a", service_job(8));
        world_.time().run_for(seconds(3));
        world_.fleet().workers.at("w1").cut = true;
        for (std::size_t host = 0; host < world_.hosts(); ++host)
            world_.kill_host(host);
        erase_recorded_workers();
        for (std::size_t host = 0; host < world_.hosts(); ++host)
            world_.start_host(host);
        world_.time().run_for(seconds(8));
        assert_invariants();
        world_.time().run_for(seconds(12));
        for (std::uint32_t index = 0; index < 8; ++index)
            CPPUNIT_ASSERT(world_.checker().is_running(task("a", index)));
        assert_invariants();
    }
    /// A worker is lost, and while its service tasks wait for its lease to expire, batch tasks take
    /// all other resources. Guards against service tasks that are down as long as batch tasks keep
    /// arriving: each gap was only as large as the batch task that had ended.
    void resources_are_reserved_for_service_tasks_that_are_down() {
        start_cell();
        job_spec large = service_job(2);
        large.steps.front().size.cpu_millis = 3000;
        world_.submit(0, "a", large);
        world_.time().run_for(seconds(2));
        for (int index = 0; index < 60; ++index) {
            step_spec step = cell_world::make_step(10, 500);
            step.estimate = seconds(60);
            world_.submit(0, "b" + std::to_string(index), cell_world::make_job({step}));
        }
        world_.time().run_for(milliseconds(500));
        for (const auto& [name, entry] : world_.fleet().workers)
            if (entry.worker->has(task("a", 0))) {
                lose_worker(name);
                break;
            }
        world_.time().run_for(max_down_time_after_loss);
        assert_all_run("a", 2);
        assert_invariants();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_loss_test);

} // namespace
} // namespace figwinch::sim
