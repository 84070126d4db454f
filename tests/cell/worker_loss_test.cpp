#include "tests/cell/recovery_fixture.h"

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// How soon tasks run again whose own worker is lost, and what records say of workers.
class worker_loss_test : public recovery_fixture {
    CPPUNIT_TEST_SUITE(worker_loss_test);
    CPPUNIT_TEST(tasks_of_a_dark_worker_run_again_within_its_lease);
    CPPUNIT_TEST(tasks_of_a_dark_worker_run_again_after_a_change_of_coordinator);
    CPPUNIT_TEST(tasks_of_a_dark_worker_run_again_after_the_coordinators_host_is_lost);
    CPPUNIT_TEST(tasks_of_a_worker_that_is_lost_with_the_coordinators_host_run_again);
    CPPUNIT_TEST(an_outage_of_the_log_ends_no_task);
    CPPUNIT_TEST(a_task_isnt_started_again_on_a_worker_that_has_just_gone);
    CPPUNIT_TEST(a_task_whose_worker_is_lost_at_its_start_runs_elsewhere_in_time);
    CPPUNIT_TEST(a_task_whose_start_reached_one_life_at_most_waits_for_the_lease_only);
    CPPUNIT_TEST(lasting_tasks_that_fill_dont_wait_for_processors);
    CPPUNIT_TEST(records_without_workers_leave_every_worker_in_doubt);
    CPPUNIT_TEST(room_is_kept_for_lasting_tasks_that_are_down);
    CPPUNIT_TEST_SUITE_END();

    /// Takes the workers out of all progress records, as a version that didn't record them wrote.
    void forget_recorded_workers() {
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
                        of.ordered_to = worker_id();
            kept.value = encode_progress(*job);
        }
        world_.store().compact();
    }

    /// A worker is lost, and `later` the coordinator's host, for good.
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
    /// Story: a worker that grants leases of 10 s is lost for good. Its lasting tasks had no run
    /// for 10 s, though the others had room.
    void tasks_of_a_dark_worker_run_again_within_its_lease() {
        start_cell();
        world_.submit(0, "a", service_job(8));
        world_.time().run_for(seconds(3));
        lose_worker("w1");
        world_.time().run_for(max_down_time_after_loss);
        assert_all_run("a", 8);
        assert_invariants();
    }
    /// Story: as before, and the coordinator's process ends a second later and starts again. The
    /// new reign waited for a whole lease from its own begin, 11 s from the loss.
    void tasks_of_a_dark_worker_run_again_after_a_change_of_coordinator() {
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
    /// Guards against tasks of a lost worker that wait for all that a lost coordinator may have
    /// done on its own.
    void tasks_of_a_dark_worker_run_again_after_the_coordinators_host_is_lost() {
        lose_worker_and_coordinator(seconds(1));
    }
    /// Guards against the same where nobody has noticed yet that the worker is silent.
    void tasks_of_a_worker_that_is_lost_with_the_coordinators_host_run_again() {
        lose_worker_and_coordinator(duration::zero());
    }
    /// Guards against leases that end because the log is away for a while.
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
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, world_.watch().starts);
        assert_invariants();
    }
    /// Story: a worker is lost, and a moment later a lasting task fails on another. It was started
    /// again on the lost one, which had the most room and wasn't known to be silent, and had no run
    /// until that start could have no effect any more, 10 s later: among workers that look usable
    /// nothing preferred one that had just answered.
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
        CPPUNIT_ASSERT(world_.watch().runs(failing));
        assert_invariants();
    }
    /// Guards against a start without an answer that is waited for as long as workers may grant.
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
    /// Guards against the same where only the life that was meant can have got the start.
    void a_task_whose_start_reached_one_life_at_most_waits_for_the_lease_only() {
        start_cell();
        world_.submit(0, "a", service_job(8));
        world_.time().run_for(seconds(3));
        const std::string failing = task_on("w0", "a", 8);
        bool lost = false;
        world_.fleet().is_kept = [](run_number) { return true; };
        world_.fleet().on_start_sent = [&](const std::string& to, const std::string& started) {
            if (started == failing && !std::exchange(lost, true))
                lose_worker(to);
        };
        worker("w0").fail_run(failing);
        world_.time().run_for(max_down_time_after_loss);
        assert_all_run("a", 8);
        assert_invariants();
    }
    /// Story: lasting tasks that fill have all processors that others leave, for good. One more had
    /// no run for ever, though what fills doesn't count against a worker's processors.
    void lasting_tasks_that_fill_dont_wait_for_processors() {
        start_cell();
        job_spec filling = service_job(5);
        filling.steps.front().filling = true;
        filling.steps.front().size.cpu_millis = 3500;
        world_.submit(0, "a", filling);
        world_.time().run_for(max_down_time);
        assert_all_run("a", 5);
        assert_invariants();
    }
    /// Story: all hosts are replaced by a newer version while a worker is dark. The version before
    /// didn't record workers, and none recorded was taken for none used: the dark worker's tasks
    /// were started elsewhere while they ran there.
    void records_without_workers_leave_every_worker_in_doubt() {
        start_cell();
        world_.submit(0, "a", service_job(8));
        world_.time().run_for(seconds(3));
        world_.fleet().workers.at("w1").cut = true;
        for (std::size_t host = 0; host < world_.hosts(); ++host)
            world_.kill_host(host);
        forget_recorded_workers();
        for (std::size_t host = 0; host < world_.hosts(); ++host)
            world_.start_host(host);
        world_.time().run_for(seconds(8));
        assert_invariants();
        world_.time().run_for(seconds(12));
        for (std::uint32_t index = 0; index < 8; ++index)
            CPPUNIT_ASSERT(world_.watch().runs(task("a", index)));
        assert_invariants();
    }
    /// Story: a worker is lost, and while its lasting tasks wait for its lease, short ones take all
    /// other room. Later each room that got free was as small as the short task that had ended, and
    /// the lasting tasks had no run for as long as short ones kept coming.
    void room_is_kept_for_lasting_tasks_that_are_down() {
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
