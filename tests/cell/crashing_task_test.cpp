#include "tests/cell/recovery_fixture.h"

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tasks that crash every worker that starts them: how often they are started, and what becomes of
/// the tasks beside them.
class crashing_task_test : public recovery_fixture {
    CPPUNIT_TEST_SUITE(crashing_task_test);
    CPPUNIT_TEST(a_task_that_crashes_its_workers_is_given_up);
    CPPUNIT_TEST(a_task_whose_crashed_workers_return_under_new_ids_is_given_up);
    CPPUNIT_TEST(a_crashing_service_task_is_given_up);
    CPPUNIT_TEST(a_gang_with_a_crashing_member_is_given_up);
    CPPUNIT_TEST(a_crashing_task_of_a_recurring_job_is_given_up);
    CPPUNIT_TEST(tasks_beside_a_crashing_one_end_well);
    CPPUNIT_TEST(a_job_of_crashing_tasks_costs_few_workers);
    CPPUNIT_TEST(crashes_count_across_changes_of_coordinator);
    CPPUNIT_TEST(a_trial_without_a_known_outcome_counts);
    CPPUNIT_TEST(a_suspect_isnt_started_while_the_log_is_away);
    CPPUNIT_TEST(a_given_up_task_isnt_started_by_a_successor);
    CPPUNIT_TEST(repeated_losses_of_all_workers_fail_no_job);
    CPPUNIT_TEST(workers_that_were_out_of_reach_fail_no_job);
    CPPUNIT_TEST(a_worker_that_keeps_crashing_fails_no_job);
    CPPUNIT_TEST_SUITE_END();

    using worker_return = cell_world::worker_return;
    /// Long enough for as many crashes as a task may cause, each of which takes a lease.
    static constexpr duration time_to_give_up = seconds(60);
    static constexpr duration crash_delay = milliseconds(10);

    static job_spec batch_job(std::uint32_t tasks) {
        return cell_world::make_job({cell_world::make_step(tasks, 500)});
    }
    std::string phase(const std::string& id) {
        const job_entry* const job = world_.job(*world_.coordinator(), id);
        return job == nullptr ? "unknown" : to_string(job->phase);
    }
    void start_cell_with_crashes(worker_return how) {
        start_cell();
        world_.return_crashed_workers(how);
    }
    void submit_crashing(const std::string& id, const job_spec& job) {
        world_.checker().crashing_tasks[task(id, 0)] = crash_delay;
        world_.submit(0, id, job);
    }
    void assert_given_up(const std::string& id) {
        CPPUNIT_ASSERT_EQUAL(std::string("failed"), phase(id));
        CPPUNIT_ASSERT(world_.checker().may_have_failed(id));
        assert_invariants();
    }
    void check_is_given_up(worker_return how) {
        start_cell_with_crashes(how);
        submit_crashing("a", batch_job(1));
        world_.time().run_for(time_to_give_up);
        assert_given_up("a");
    }
    std::uint32_t crashes() { return world_.checker().crashes_of(task("a", 0)); }
    void run_until_crash(std::uint32_t number) {
        constexpr duration step = milliseconds(2);
        for (duration waited{}; waited < time_to_give_up && crashes() < number; waited += step)
            world_.time().run_for(step);
        CPPUNIT_ASSERT_EQUAL(number, crashes());
    }
    void set_log(sim_log::way way) {
        for (std::size_t host = 0; host < world_.hosts(); ++host)
            world_.host(host)->way_to_log().state = way;
    }
    void restart_coordinator() {
        const std::size_t host = *world_.coordinator();
        world_.kill_host(host);
        world_.start_host(host);
    }
    void assert_no_job_failed(const std::string& id) {
        CPPUNIT_ASSERT(phase(id) != "failed");
        assert_invariants();
    }

public:
    /// Guards against a task that is started without bound because its crashed workers report no
    /// failure.
    void a_task_that_crashes_its_workers_is_given_up() {
        check_is_given_up(worker_return::same_id);
    }
    /// The same where another worker id appears at the address of a crashed worker.
    void a_task_whose_crashed_workers_return_under_new_ids_is_given_up() {
        check_is_given_up(worker_return::new_id);
    }
    /// Guards against service tasks, which have no limit on attempts, that are started without
    /// bound.
    void a_crashing_service_task_is_given_up() {
        start_cell_with_crashes(worker_return::new_id);
        submit_crashing("a", service_job(1));
        world_.time().run_for(time_to_give_up);
        assert_given_up("a");
    }
    /// Guards against a gang whose crashes are counted for no member, since all of its runs end.
    void a_gang_with_a_crashing_member_is_given_up() {
        start_cell_with_crashes(worker_return::new_id);
        step_spec step = cell_world::make_step(3, 500);
        step.gang = step.is_service = true;
        submit_crashing("a", cell_world::make_job({step}));
        // The simulated workers do not end the other members by themselves.
        world_.checker().after_crash =
            [this, replace = world_.checker().after_crash](const std::string& crashed) {
                replace(crashed);
                for (const auto& [name, entry] : world_.fleet().workers)
                    for (std::uint32_t index = 1; index < 3; ++index)
                        if (entry.worker->has(task("a", index)))
                            entry.worker->end_run(task("a", index), run_end::gang_ended);
            };
        world_.time().run_for(time_to_give_up);
        assert_given_up("a");
    }
    /// Guards against later occurrences that start after a task of an earlier one was given up.
    void a_crashing_task_of_a_recurring_job_is_given_up() {
        start_cell_with_crashes(worker_return::new_id);
        job_spec job = batch_job(1);
        job.repeats = 50;
        job.interval_ms = 2000;
        job.first_due_ms = world_.time().clock().wall_now().time_since_epoch().count();
        submit_crashing("a", job);
        world_.time().run_for(time_to_give_up);
        assert_given_up("a");
        const std::uint64_t starts = world_.checker().starts;
        world_.time().run_for(seconds(20));
        CPPUNIT_ASSERT_EQUAL(starts, world_.checker().starts);
    }
    /// Guards against blaming the tasks that were lost with a worker for the crash by another one.
    void tasks_beside_a_crashing_one_end_well() {
        start_cell_with_crashes(worker_return::new_id);
        world_.submit(0, "b", service_job(6));
        submit_crashing("a", batch_job(1));
        for (const std::string id : {"c", "d", "e", "f"})
            world_.submit(0, id, batch_job(4));
        world_.time().run_for(time_to_give_up);
        assert_given_up("a");
        assert_all_run("b", 6);
        for (const std::string id : {"c", "d", "e", "f"})
            CPPUNIT_ASSERT_EQUAL(std::string("succeeded"), phase(id));
    }
    /// Guards against a job whose tasks all crash their workers, and each of which crashes several.
    void a_job_of_crashing_tasks_costs_few_workers() {
        constexpr std::uint32_t tasks = 16;
        start_cell_with_crashes(worker_return::new_id);
        const std::size_t workers = world_.fleet().workers.size();
        for (std::uint32_t index = 0; index < tasks; ++index)
            world_.checker().crashing_tasks[task("a", index)] = crash_delay;
        world_.submit(0, "a", batch_job(tasks));
        world_.time().run_for(time_to_give_up);
        assert_given_up("a");
        CPPUNIT_ASSERT(world_.fleet().workers.size() - workers < tasks);
    }
    /// Guards against a count of crashes that is lost with the coordinator's process.
    void crashes_count_across_changes_of_coordinator() {
        start_cell_with_crashes(worker_return::same_id);
        submit_crashing("a", batch_job(1));
        for (std::uint32_t crash = 1; crash <= 2; ++crash) {
            run_until_crash(crash);
            world_.time().run_for(seconds(1));
            restart_coordinator();
        }
        world_.time().run_for(time_to_give_up);
        assert_given_up("a");
    }
    /// A coordinator's process ends at the moment at which a suspect crashes its worker. Guards
    /// against a successor to which that start never happened.
    void a_trial_without_a_known_outcome_counts() {
        start_cell_with_crashes(worker_return::new_id);
        submit_crashing("a", batch_job(1));
        run_until_crash(1);
        world_.time().run_for(seconds(1));
        for (std::uint32_t crash = 2; crash <= 4; ++crash) {
            run_until_crash(crash);
            restart_coordinator();
        }
        world_.time().run_for(time_to_give_up);
        assert_given_up("a");
        CPPUNIT_ASSERT(crashes() <= 4);
    }
    /// Guards against a start that no successor would count.
    void a_suspect_isnt_started_while_the_log_is_away() {
        start_cell_with_crashes(worker_return::same_id);
        submit_crashing("a", batch_job(1));
        run_until_crash(1);
        set_log(sim_log::way::silent);
        world_.time().run_for(seconds(20));
        CPPUNIT_ASSERT_EQUAL(1U, crashes());
        set_log(sim_log::way::open);
        world_.time().run_for(time_to_give_up);
        assert_given_up("a");
    }
    /// Guards against a job that starts again because its end was decided but not yet recorded.
    void a_given_up_task_isnt_started_by_a_successor() {
        start_cell_with_crashes(worker_return::same_id);
        submit_crashing("a", batch_job(1));
        run_until_crash(2);
        const auto is_over = [&] { return phase("a") == "failed" || crashes() > 2; };
        while (!is_over())
            world_.time().run_for(milliseconds(2));
        const std::uint32_t before = crashes();
        restart_coordinator();
        world_.time().run_for(time_to_give_up);
        CPPUNIT_ASSERT_EQUAL(before, crashes());
        assert_given_up("a");
    }
    /// Guards against blaming tasks for workers that are lost together, for example with the power
    /// of their data centre.
    void repeated_losses_of_all_workers_fail_no_job() {
        start_cell();
        world_.submit(0, "a", service_job(8));
        constexpr int losses = 6;
        for (int loss = 0; loss < losses; ++loss) {
            world_.time().run_for(milliseconds(400));
            for (const auto& [name, entry] : world_.fleet().workers)
                entry.worker->crash();
            world_.time().run_for(seconds(3));
            for (const auto& [name, entry] : world_.fleet().workers)
                entry.worker->reborn();
            world_.time().run_for(seconds(4));
        }
        world_.time().run_for(seconds(20));
        assert_no_job_failed("a");
        assert_all_run("a", 8);
    }
    /// Guards against counting workers that were cut off and kept running as crashed.
    void workers_that_were_out_of_reach_fail_no_job() {
        start_cell();
        world_.submit(0, "a", service_job(1));
        constexpr int cuts = 6;
        for (int cut = 0; cut < cuts; ++cut) {
            run_until([&] { return world_.checker().is_running(task("a", 0)); });
            std::string at;
            for (const auto& [name, entry] : world_.fleet().workers)
                if (entry.worker->has(task("a", 0)))
                    at = name;
            world_.fleet().workers.at(at).cut = true;
            world_.time().run_for(seconds(7));
            world_.fleet().workers.at(at).cut = false;
            world_.time().run_for(seconds(7));
            sim_worker& worker_now =
                *std::ranges::find_if(world_.fleet().workers, [&](auto& entry) {
                     return entry.second.worker->has(task("a", 0));
                 })->second.worker;
            worker_now.fail_run(task("a", 0));
        }
        world_.time().run_for(seconds(20));
        assert_no_job_failed("a");
        assert_all_run("a", 1);
    }
    /// Guards against a worker that crashes by itself again and again, always empty and therefore
    /// preferred, until each task that it got has been blamed twice.
    void a_worker_that_keeps_crashing_fails_no_job() {
        start_cell();
        world_.submit(0, "a", service_job(8));
        world_.time().run_for(seconds(2));
        constexpr int crashes = 8;
        for (int crash = 0; crash < crashes; ++crash) {
            worker("w1").crash();
            world_.time().run_for(milliseconds(3200));
            worker("w1").reborn();
            world_.time().run_for(milliseconds(500));
        }
        world_.time().run_for(seconds(20));
        assert_no_job_failed("a");
        assert_all_run("a", 8);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(crashing_task_test);

} // namespace
} // namespace figwinch::sim
