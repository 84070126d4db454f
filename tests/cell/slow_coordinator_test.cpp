#include "tests/cell/recovery_fixture.h"

#include <absl/strings/str_cat.h>
namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Coordinators with little processor time: what starts cost them beside a backlog, and what they
/// start while they can't start all.
class slow_coordinator_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(slow_coordinator_test);
    CPPUNIT_TEST(a_start_costs_the_same_beside_a_backlog);
    CPPUNIT_TEST(a_large_job_among_small_ones_runs_while_starts_are_scarce);
    CPPUNIT_TEST(a_backlog_drains_after_an_overload);
    CPPUNIT_TEST(a_backlog_drains_after_an_overload_with_half_the_processor);
    CPPUNIT_TEST(a_backlog_drains_after_an_overload_with_a_third_of_the_processor);
    CPPUNIT_TEST(a_backlog_drains_after_an_overload_and_a_handover);
    CPPUNIT_TEST(a_backlog_drains_beside_further_jobs);
    CPPUNIT_TEST(a_backlog_of_best_effort_jobs_drains_after_an_overload);
    CPPUNIT_TEST(a_backlog_of_best_effort_jobs_drains_after_an_overload_with_half_the_processor);
    CPPUNIT_TEST(
        a_backlog_of_best_effort_jobs_drains_after_an_overload_with_a_third_of_the_processor);
    CPPUNIT_TEST(a_backlog_of_best_effort_jobs_drains_after_an_overload_and_a_handover);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t hosts = 3;
    static constexpr std::size_t workers = 40;
    /// What a start may cost beside its order, whatever waits: as much as the order itself.
    static constexpr sim_processor::cost max_search_cost = std::chrono::microseconds(60);
    static constexpr std::uint32_t small_tasks = 2;

    enum class task_kind { ordinary, best_effort };

    cell_world world_{21, hosts, workers};
    std::vector<std::shared_ptr<std::optional<intake_outcome>>> replies_;
    int next_host_ = 0;

    static job_spec small_job(task_kind kind) {
        step_spec step = cell_world::make_step(small_tasks, 100);
        step.is_best_effort = kind == task_kind::best_effort;
        return cell_world::make_job({step});
    }
    static std::string small_name(std::size_t index) { return absl::StrCat("small", index); }
    /// Submits small jobs, the given number each 100 ms.
    void submit_for(duration span, std::size_t jobs_per_step, task_kind kind) {
        constexpr duration step = milliseconds(100);
        for (duration passed{}; passed < span; passed += step) {
            for (std::size_t index = 0; index < jobs_per_step; ++index)
                replies_.push_back(
                    world_.submit(any_host(), small_name(replies_.size()), small_job(kind)));
            world_.time().run_for(step);
        }
    }
    std::size_t any_host() {
        for (;;)
            if (const std::size_t host = static_cast<std::size_t>(next_host_++) % hosts;
                world_.host(host) != nullptr)
                return host;
    }
    void start_cell() {
        world_.checker().failure_probability = 0;
        world_.time().run_for(seconds(3));
        CPPUNIT_ASSERT(world_.coordinator().has_value());
    }
    coordinator_counts counts() {
        return world_.host(*world_.coordinator())->member().coordinating()->counts();
    }
    /// How many of a job's tasks fulfil a condition.
    template <class Check>
    static std::uint32_t count_tasks(const std::string& job, std::uint32_t tasks,
                                     const Check& check) {
        std::uint32_t count = 0;
        for (std::uint32_t index = 0; index < tasks; ++index)
            count += check(absl::StrCat(job, ".0.0.", index)) ? 1 : 0;
        return count;
    }
    std::uint32_t started_of(const std::string& job, std::uint32_t tasks) {
        return count_tasks(job, tasks, [this](const std::string& task) {
            return world_.checker().has_started(task);
        });
    }
    std::uint32_t succeeded_of(const std::string& job, std::uint32_t tasks) {
        return count_tasks(job, tasks, [this](const std::string& task) {
            return world_.checker().has_succeeded(task);
        });
    }
    /// The tasks that have not succeeded of those of the first jobs that were accepted.
    std::size_t unfinished(std::size_t jobs) {
        std::size_t count = 0;
        for (std::size_t index = 0; index < jobs; ++index)
            if (*replies_[index] == intake_outcome::stored)
                count += small_tasks - succeeded_of(small_name(index), small_tasks);
        return count;
    }
    void assert_invariants() {
        if (!world_.checker().violations.empty())
            CPPUNIT_FAIL(world_.checker().violations.front());
    }

    /// Returns what each start costs beside its order while `waiting` jobs find no room.
    sim_processor::cost search_cost_beside(std::size_t waiting) {
        start_cell();
        // Fills the cell so that no worker has the whole of its CPU for a waiting job.
        world_.submit(0, "filling", cell_world::make_job({filling_step()}));
        world_.time().run_for(seconds(2));
        for (std::size_t index = 0; index < waiting; ++index)
            world_.submit(0, absl::StrCat("waiting", index),
                          cell_world::make_job({cell_world::make_step(1, 4000)}));
        world_.time().run_for(seconds(2));
        const coordinator_counts before = counts();
        submit_for(seconds(3), 50, task_kind::ordinary);
        const coordinator_counts after = counts();
        CPPUNIT_ASSERT(after.starts > before.starts);
        return sim_processor::cost_of_search(before, after) /
               static_cast<std::int64_t>(after.starts - before.starts);
    }
    static step_spec filling_step() {
        step_spec step = cell_world::make_step(workers, 1000);
        step.is_service = true;
        step.max_per_worker = 1;
        return step;
    }

    /// A processor that starts about 500 tasks per second.
    static constexpr double small_share = 0.03;
    /// What happens while a backlog drains.
    enum class meanwhile { nothing, handover, further_jobs };

    /// Submits more small jobs than the coordinator can start, then waits as long as all accepted
    /// tasks may take: each start its order and as much again, the longest run, and a handover.
    void drain(task_kind kind, double share, meanwhile what) {
        constexpr std::size_t too_many = 80;
        start_cell();
        world_.limit_processors(share);
        submit_for(seconds(5), too_many, kind);
        world_.time().run_for(milliseconds(500));
        const std::size_t jobs = replies_.size();
        const std::size_t left = unfinished(jobs);
        CPPUNIT_ASSERT(left > 0);
        if (what == meanwhile::handover) {
            const std::size_t host = *world_.coordinator();
            world_.kill_host(host);
            world_.time().after(seconds(2), [this, host] { world_.start_host(host); });
        }
        constexpr duration step = milliseconds(100);
        const std::uint32_t jobs_per_step = what == meanwhile::further_jobs ? 5 : 0;
        const duration bound = max_drain_time(left, share, jobs_per_step * small_tasks * 10.0) +
                               (what == meanwhile::handover ? max_down_time : seconds(1));
        const instant began = world_.time().now();
        while (unfinished(jobs) > 0 && world_.time().now() < began + bound)
            submit_for(step, jobs_per_step, kind);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
            absl::StrCat("tasks that have not succeeded, of ", left, " tasks, ",
                         std::chrono::duration<double>(bound).count(), " s after the overload"),
            std::size_t{0}, unfinished(jobs));
        assert_invariants();
    }
    /// How long the given number of tasks may take while others arrive.
    static duration max_drain_time(std::size_t tasks, double share, double arrivals_per_s) {
        constexpr duration longest_run = milliseconds(1700);
        const std::chrono::duration<double> per_start = sim_processor::start_cost + max_search_cost;
        const double starts_per_s = share / per_start.count() - arrivals_per_s;
        return longest_run + std::chrono::duration_cast<duration>(std::chrono::duration<double>(
                                 static_cast<double>(tasks) / starts_per_s));
    }

public:
    /// Guards against starts that get dearer the more jobs wait, so that an overload lasts.
    void a_start_costs_the_same_beside_a_backlog() {
        for (const std::size_t waiting : {0U, 500U, 2000U}) {
            slow_coordinator_test fresh;
            const auto cost = fresh.search_cost_beside(waiting);
            CPPUNIT_ASSERT_MESSAGE(
                absl::StrCat(cost.count(), " ns a start beside ", waiting, " waiting jobs"),
                cost <= max_search_cost);
        }
    }
    /// Guards against large jobs that wait for as long as smaller ones come.
    void a_large_job_among_small_ones_runs_while_starts_are_scarce() {
        constexpr std::uint32_t large_tasks = 200;
        constexpr duration target = seconds(5);
        start_cell();
        world_.limit_processors(small_share);
        submit_for(seconds(2), 40, task_kind::ordinary);
        job_spec large = cell_world::make_job({cell_world::make_step(large_tasks, 500)});
        large.target = target;
        const duration objective = target + std::chrono::duration_cast<duration>(
                                                large.steps.front().estimate * large.stretch);
        const auto reply = world_.submit(any_host(), "large", large);
        submit_for(objective, 40, task_kind::ordinary);
        CPPUNIT_ASSERT(*reply == intake_outcome::stored);
        const std::uint32_t started = started_of("large", large_tasks);
        submit_for(2 * objective, 40, task_kind::ordinary);
        const std::uint32_t succeeded = succeeded_of("large", large_tasks);
        CPPUNIT_ASSERT_MESSAGE("no task started by the objective", started > 0);
        // A job is of no use any more after three times its objective.
        CPPUNIT_ASSERT_MESSAGE(absl::StrCat(succeeded, " tasks succeeded"),
                               succeeded >= large_tasks / 2);
        assert_invariants();
    }
    /// Guards against jobs that wait beside free room after an overload, for good or for longer
    /// than their starts take.
    void a_backlog_drains_after_an_overload() {
        drain(task_kind::ordinary, small_share, meanwhile::nothing);
    }
    void a_backlog_drains_after_an_overload_with_half_the_processor() {
        drain(task_kind::ordinary, small_share / 2, meanwhile::nothing);
    }
    void a_backlog_drains_after_an_overload_with_a_third_of_the_processor() {
        drain(task_kind::ordinary, small_share / 3, meanwhile::nothing);
    }
    void a_backlog_drains_after_an_overload_and_a_handover() {
        drain(task_kind::ordinary, small_share, meanwhile::handover);
    }
    /// Guards against an overload that lasts although less arrives than can be started.
    void a_backlog_drains_beside_further_jobs() {
        drain(task_kind::ordinary, small_share, meanwhile::further_jobs);
    }
    /// The same for best-effort jobs.
    void a_backlog_of_best_effort_jobs_drains_after_an_overload() {
        drain(task_kind::best_effort, small_share, meanwhile::nothing);
    }
    void a_backlog_of_best_effort_jobs_drains_after_an_overload_with_half_the_processor() {
        drain(task_kind::best_effort, small_share / 2, meanwhile::nothing);
    }
    void a_backlog_of_best_effort_jobs_drains_after_an_overload_with_a_third_of_the_processor() {
        drain(task_kind::best_effort, small_share / 3, meanwhile::nothing);
    }
    void a_backlog_of_best_effort_jobs_drains_after_an_overload_and_a_handover() {
        drain(task_kind::best_effort, small_share, meanwhile::handover);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(slow_coordinator_test);

} // namespace
} // namespace figwinch::sim
