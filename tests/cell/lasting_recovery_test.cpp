#include "figwinch/cell/record_codec.h"
#include "tests/cell/cell_world.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tasks that last have to run again within this time of the end of a run, when there is room.
constexpr duration longest_down = seconds(6);
/// Those of a worker that is lost, within this time, in which the worker's silence is noticed.
constexpr duration longest_after_loss = seconds(9);
/// And urgent work starts within this time.
constexpr duration longest_to_start = milliseconds(4900);

cell_settings with_lease(duration lease) {
    cell_settings settings;
    settings.max_hold = lease;
    return settings;
}

/// How soon tasks run again, or begin, when a coordinator or a worker goes.
class lasting_recovery_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(lasting_recovery_test);
    CPPUNIT_TEST(a_task_doesnt_wait_for_a_worker_that_never_had_it);
    CPPUNIT_TEST(a_task_doesnt_wait_for_a_worker_that_was_silent_before_its_start);
    CPPUNIT_TEST(a_task_doesnt_wait_for_a_worker_that_was_only_recorded);
    CPPUNIT_TEST(a_task_runs_again_before_new_work_takes_the_room);
    CPPUNIT_TEST(a_short_job_doesnt_wait_for_a_worker_that_never_had_it);
    CPPUNIT_TEST(tasks_of_a_dark_worker_run_again_within_its_lease);
    CPPUNIT_TEST(tasks_of_a_dark_worker_run_again_after_a_change_of_coordinator);
    CPPUNIT_TEST(a_task_isnt_started_again_on_a_worker_that_has_just_gone);
    CPPUNIT_TEST(lasting_tasks_that_fill_dont_wait_for_processors);
    CPPUNIT_TEST(records_without_workers_leave_every_worker_in_doubt);
    CPPUNIT_TEST_SUITE_END();

    cell_world world_{7, 3, 4, with_lease(seconds(10))};

    static job_spec lasting(std::uint32_t tasks) {
        step_spec step = cell_world::make_step(tasks, 1000);
        step.lasting = true;
        return cell_world::make_job({step});
    }
    static std::string task(const std::string& job, std::uint32_t index) {
        return job + ".0.0." + std::to_string(index);
    }
    sim_worker& worker(const std::string& name) { return *world_.fleet().workers.at(name).worker; }
    void begin() {
        world_.watch().failing = 0;
        world_.time().run_for(seconds(2));
    }
    /// A lasting task of a job that a worker has.
    std::string task_on(const std::string& name, const std::string& job, std::uint32_t tasks) {
        for (std::uint32_t index = 0; index < tasks; ++index)
            if (worker(name).has(task(job, index)))
                return task(job, index);
        CPPUNIT_FAIL("no task of " + job + " on " + name);
        return "";
    }
    std::string record(record_kind kind, const std::string& id) {
        const auto& newest = world_.store().of(cell_stream::progress).newest;
        const auto row = newest.find(record_key(kind, id));
        return row == newest.end() ? "" : row->second.value.value_or("");
    }
    /// Goes on until the log has what is looked for, and no further.
    template <class Check>
    void run_until(const Check& check) {
        constexpr duration step = milliseconds(2);
        constexpr int most_steps = 1000;
        for (int steps = 0; steps < most_steps && !check(); ++steps)
            world_.time().run_for(step);
        CPPUNIT_ASSERT(check());
    }
    /// A lasting job comes. The log takes the workers of its tasks and its answer is lost, so that
    /// no order goes out, and the coordinator's process ends and starts again. Then all tasks have
    /// to run on the workers that are well.
    void restart_before_the_first_order() {
        constexpr std::uint32_t tasks = 8;
        std::size_t orders = 0;
        world_.fleet().on_start_sent = [&orders](const auto&, const auto&) { ++orders; };
        const auto told = world_.submit(0, "a", lasting(tasks));
        run_until([&told] { return told->has_value(); });
        const std::size_t first = *world_.coordinator();
        world_.host(first)->way_to_log().lost_answers = 1;
        run_until([this] { return !record(record_kind::progress, "a").empty(); });
        world_.kill_host(first);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, orders);
        world_.fleet().on_start_sent = nullptr;
        world_.start_host(first);
        world_.time().run_for(longest_down);
        for (std::uint32_t index = 0; index < tasks; ++index)
            CPPUNIT_ASSERT_MESSAGE(task("a", index), world_.watch().runs(task("a", index)));
        kept_the_rules();
    }
    void kept_the_rules() {
        if (!world_.watch().broken.empty())
            CPPUNIT_FAIL(world_.watch().broken.front());
    }

public:
    /// Story: a worker goes dark, and seconds later the process of the coordinator ends and starts
    /// again. Then a lasting task fails on another worker, which is well. It had no run for over 10
    /// s, until the lease of the dark worker was over, which had never had it. The new reign
    /// couldn't tell whose the dark worker's runs were and held back every task that it inherited:
    /// `waits_for` said earlier_reign all the while, and the wait ended with that lease.
    void a_task_doesnt_wait_for_a_worker_that_never_had_it() {
        begin();
        world_.submit(0, "a", lasting(8));
        world_.time().run_for(seconds(3));
        world_.fleet().workers.at("w1").cut = true;
        world_.time().run_for(seconds(1));
        const std::size_t first = *world_.coordinator();
        world_.kill_host(first);
        world_.start_host(first);
        world_.time().run_for(milliseconds(500));
        const std::string failing = task_on("w2", "a", 8);
        worker("w2").fail_run(failing);
        CPPUNIT_ASSERT(!world_.watch().runs(failing));
        world_.time().run_for(longest_down);
        CPPUNIT_ASSERT(world_.watch().runs(failing));
        world_.time().run_for(seconds(12));
        for (std::uint32_t index = 0; index < 8; ++index)
            CPPUNIT_ASSERT(world_.watch().runs(task("a", index)));
        kept_the_rules();
    }
    /// Story: a worker goes dark, and the coordinator finds it silent. A lasting job comes, and the
    /// process of the coordinator ends and starts again when the workers of the job's tasks are in
    /// the log, before any order. Tasks that were recorded for the dark worker, which was known to
    /// be silent, had no run until its lease was over.
    void a_task_doesnt_wait_for_a_worker_that_was_silent_before_its_start() {
        begin();
        world_.fleet().workers.at("w1").cut = true;
        run_until([this] {
            const auto row = decode_worker(record(record_kind::worker, "w1"));
            return row && row->silent;
        });
        restart_before_the_first_order();
    }
    /// Story: the same, but the worker went dark a moment ago and the coordinator doesn't know yet.
    /// A record without an order looks to the successor like one whose order went out.
    void a_task_doesnt_wait_for_a_worker_that_was_only_recorded() {
        begin();
        world_.fleet().workers.at("w1").cut = true;
        restart_before_the_first_order();
    }
    /// Story: the workers are full and more jobs come than they can serve. A lasting task fails,
    /// and each time a short task ends another short one, whose caller can still have it in time,
    /// takes the room. Tasks were started in the order of their jobs' objectives, and that of a
    /// lasting job is soon past.
    void a_task_runs_again_before_new_work_takes_the_room() {
        begin();
        world_.submit(0, "a", lasting(4));
        world_.time().run_for(seconds(2));
        for (int index = 0; index < 30; ++index) {
            step_spec step = cell_world::make_step(8, 500);
            step.estimate = seconds(60);
            world_.submit(0, "b" + std::to_string(index), cell_world::make_job({step}));
        }
        world_.time().run_for(seconds(2));
        std::string failing;
        for (const auto& [name, entry] : world_.fleet().workers)
            if (failing.empty() && entry.worker->has(task("a", 0))) {
                failing = task("a", 0);
                entry.worker->fail_run(failing);
            }
        CPPUNIT_ASSERT(!failing.empty());
        world_.time().run_for(longest_down);
        CPPUNIT_ASSERT(world_.watch().runs(failing));
        kept_the_rules();
    }
    /// Story: a worker goes dark, jobs begin on the others, and the process of the coordinator ends
    /// and starts again. Neither their next steps nor jobs that hadn't begun were started for over
    /// 10 s, until the lease of the dark worker was over: nothing told the new reign that none of
    /// their runs could be there.
    void a_short_job_doesnt_wait_for_a_worker_that_never_had_it() {
        begin();
        world_.submit(0, "a", lasting(8));
        world_.time().run_for(seconds(3));
        world_.fleet().workers.at("w1").cut = true;
        world_.time().run_for(seconds(3));
        step_spec second = cell_world::make_step(3, 500);
        second.after = {0};
        world_.submit(0, "b", cell_world::make_job({cell_world::make_step(3, 500), second}));
        world_.time().run_for(milliseconds(150));
        const std::size_t first = *world_.coordinator();
        world_.submit((first + 1) % 3, "c", cell_world::make_job({cell_world::make_step(2, 500)}));
        world_.time().run_for(milliseconds(5));
        world_.kill_host(first);
        world_.start_host(first);
        world_.time().run_for(longest_to_start);
        CPPUNIT_ASSERT(world_.watch().begun("b.0.1.0"));
        CPPUNIT_ASSERT(world_.watch().begun("c.0.0.0"));
        world_.time().run_for(seconds(15));
        kept_the_rules();
    }
    /// The worker is gone for good, which its host's silence doesn't tell.
    void lose(const std::string& name) {
        world_.fleet().workers.at(name).cut = true;
        worker(name).reborn();
        world_.time().after(seconds(3), [this, name] { world_.unlist_worker(name); });
    }
    void all_run(const std::string& job, std::uint32_t tasks) {
        for (std::uint32_t index = 0; index < tasks; ++index)
            CPPUNIT_ASSERT(world_.watch().runs(task(job, index)));
    }
    /// Story: a worker that grants leases of 10 s is lost for good. Its lasting tasks had no run
    /// for 10 s, though the others had room.
    void tasks_of_a_dark_worker_run_again_within_its_lease() {
        begin();
        world_.submit(0, "a", lasting(8));
        world_.time().run_for(seconds(3));
        lose("w1");
        world_.time().run_for(longest_after_loss);
        all_run("a", 8);
        kept_the_rules();
    }
    /// Story: as before, and the coordinator's process ends a second later and starts again. The
    /// new reign waited for a whole lease from its own begin, 11 s from the loss.
    void tasks_of_a_dark_worker_run_again_after_a_change_of_coordinator() {
        begin();
        world_.submit(0, "a", lasting(8));
        world_.time().run_for(seconds(3));
        lose("w1");
        world_.time().run_for(seconds(1));
        const std::size_t first = *world_.coordinator();
        world_.kill_host(first);
        world_.start_host(first);
        world_.time().run_for(longest_after_loss - seconds(1));
        all_run("a", 8);
        kept_the_rules();
    }
    /// Story: a worker is lost, and a moment later a lasting task fails on another. It was started
    /// again on the lost one, which had the most room and wasn't known to be silent, and had no run
    /// until that start could have no effect any more, 10 s later: among workers that look usable
    /// nothing preferred one that had just answered.
    void a_task_isnt_started_again_on_a_worker_that_has_just_gone() {
        begin();
        world_.submit(0, "a", lasting(7));
        world_.time().run_for(seconds(3));
        std::string least;
        for (const auto& [name, entry] : world_.fleet().workers)
            if (least.empty() || entry.worker->running() < worker(least).running())
                least = name;
        lose(least);
        world_.time().run_for(milliseconds(1200));
        const std::string failing = task_on(least == "w0" ? "w2" : "w0", "a", 7);
        for (auto& [name, entry] : world_.fleet().workers)
            if (entry.worker->has(failing))
                entry.worker->fail_run(failing);
        world_.time().run_for(longest_down);
        CPPUNIT_ASSERT(world_.watch().runs(failing));
        kept_the_rules();
    }
    /// Story: lasting tasks that fill have all processors that others leave, for good. One more had
    /// no run for ever, though what fills doesn't count against a worker's processors.
    void lasting_tasks_that_fill_dont_wait_for_processors() {
        begin();
        job_spec filling = lasting(5);
        filling.steps.front().filling = true;
        filling.steps.front().size.cpu_millis = 3500;
        world_.submit(0, "a", filling);
        world_.time().run_for(longest_down);
        all_run("a", 5);
        kept_the_rules();
    }
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
    /// Story: all hosts are replaced by a newer version while a worker is dark. The version before
    /// didn't record workers, and none recorded was taken for none used: the dark worker's tasks
    /// were started elsewhere while they ran there.
    void records_without_workers_leave_every_worker_in_doubt() {
        begin();
        world_.submit(0, "a", lasting(8));
        world_.time().run_for(seconds(3));
        world_.fleet().workers.at("w1").cut = true;
        for (std::size_t host = 0; host < world_.hosts(); ++host)
            world_.kill_host(host);
        forget_recorded_workers();
        for (std::size_t host = 0; host < world_.hosts(); ++host)
            world_.start_host(host);
        world_.time().run_for(seconds(8));
        kept_the_rules();
        world_.time().run_for(seconds(12));
        for (std::uint32_t index = 0; index < 8; ++index)
            CPPUNIT_ASSERT(world_.watch().runs(task("a", index)));
        kept_the_rules();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lasting_recovery_test);

} // namespace
} // namespace figwinch::sim
