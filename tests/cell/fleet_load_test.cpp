#include "tests/cell/cell_world.h"
#include "tests/cell/recovery_fixture.h"

#include <absl/strings/str_cat.h>

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tests faults under the load of a large fleet, scaled down to a tenth of a data centre: 40
/// workers in two data centres, service tasks that take most of the capacity, a steady stream of
/// short batch jobs, and six hosts that relay the coordinator's orders.
class fleet_load_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(fleet_load_test);
    CPPUNIT_TEST(a_third_of_the_hosts_parted_from_the_log);
    CPPUNIT_TEST(all_hosts_restarted_in_turn_beside_a_slow_log);
    CPPUNIT_TEST(workers_lost_at_short_notice_under_full_lasting_load);
    CPPUNIT_TEST(a_data_centre_lost_at_the_peak);
    CPPUNIT_TEST(all_hosts_without_power_at_the_end);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t hosts = 6;
    static constexpr std::size_t workers = 40;
    static constexpr std::uint32_t lasting_tasks = 8;
    static constexpr std::size_t lasting_jobs = 13;

    cell_world world_{11, hosts, workers, {}, true};
    int short_jobs_ = 0;
    bool coming_ = true;

    static step_spec short_step(std::uint32_t tasks) { return cell_world::make_step(tasks, 600); }
    static std::string lasting_job(std::size_t index) { return absl::StrCat("lasting", index); }

    /// A random host that is running, or nothing if there is none.
    std::optional<std::size_t> any_host() {
        const std::size_t first = world_.draw() % hosts;
        for (std::size_t host = first; host < first + hosts; ++host)
            if (world_.host(host % hosts) != nullptr)
                return host % hosts;
        return std::nullopt;
    }
    /// Submits a batch job of two steps with eight tasks each, four times a second.
    void keep_coming() {
        if (!coming_)
            return;
        step_spec second = short_step(8);
        second.depends_on = {0};
        if (const auto host = any_host())
            world_.submit(*host, absl::StrCat("short", short_jobs_++),
                          cell_world::make_job({short_step(8), second}));
        world_.time().after(milliseconds(250), [this] { keep_coming(); });
    }
    /// Starts the load. The service tasks request 104 of the 160 cores.
    void begin() {
        world_.checker().failure_probability = 0;
        world_.time().run_for(seconds(3));
        for (std::size_t index = 0; index < lasting_jobs; ++index) {
            step_spec step = cell_world::make_step(lasting_tasks, 1000);
            step.is_service = true;
            world_.submit(index % hosts, lasting_job(index), cell_world::make_job({step}));
        }
        world_.time().run_for(seconds(3));
        keep_coming();
        world_.time().run_for(seconds(4));
        CPPUNIT_ASSERT_EQUAL(lasting_jobs * lasting_tasks, lasting_running());
    }
    std::size_t lasting_running() {
        std::size_t running = 0;
        for (std::size_t job = 0; job < lasting_jobs; ++job)
            for (std::uint32_t index = 0; index < lasting_tasks; ++index)
                running +=
                    world_.checker().is_running(absl::StrCat(lasting_job(job), ".0.0.", index));
        return running;
    }
    void all_lasting_run_within(duration bound) {
        world_.time().run_for(bound);
        CPPUNIT_ASSERT_EQUAL(lasting_jobs * lasting_tasks, lasting_running());
    }
    /// Stops the stream of batch jobs and checks that all of them succeed, within `backlog`, and
    /// that no invariant was violated.
    void end(duration backlog = seconds(20)) {
        coming_ = false;
        world_.time().run_for(backlog);
        for (int job = 0; job < short_jobs_; ++job) {
            const job_entry* const entry = world_.job(*any_host(), absl::StrCat("short", job));
            if (entry != nullptr && entry->spec)
                CPPUNIT_ASSERT(entry->phase == job_phase::succeeded);
        }
        CPPUNIT_ASSERT(world_.checker().violations.empty());
    }
    void lose_worker(const std::string& name) {
        world_.fleet().workers.at(name).cut = true;
        world_.fleet().workers.at(name).worker->reborn();
        world_.time().after(seconds(3), [this, name] { world_.unlist_worker(name); });
    }
    void restart_in_turn(std::size_t host) {
        if (host == hosts)
            return;
        world_.host(host)->member().resign();
        world_.time().after(milliseconds(700), [this, host] { world_.kill_host(host); });
        world_.time().after(milliseconds(1200), [this, host] { world_.start_host(host); });
        world_.time().after(seconds(2), [this, host] { restart_in_turn(host + 1); });
    }

public:
    void a_third_of_the_hosts_parted_from_the_log() {
        begin();
        const std::size_t first = *world_.coordinator();
        for (std::size_t host = first; host < first + hosts / 3; ++host)
            world_.host(host % hosts)->way_to_log().state = sim_log::way::refused;
        all_lasting_run_within(seconds(9));
        CPPUNIT_ASSERT(world_.newest_leader().has_value());
        for (std::size_t host = 0; host < hosts; ++host)
            world_.host(host)->way_to_log().state = sim_log::way::open;
        all_lasting_run_within(seconds(6));
        end();
    }
    void all_hosts_restarted_in_turn_beside_a_slow_log() {
        begin();
        restart_in_turn(0);
        world_.time().run_for(seconds(5));
        world_.store().service[cell_stream::intake] = milliseconds(40);
        world_.time().run_for(seconds(3));
        world_.store().service[cell_stream::intake] = duration::zero();
        all_lasting_run_within(seconds(8));
        end();
    }
    /// Guards against service tasks that find no free resources after the loss of their workers
    /// because batch tasks take up the remaining ones.
    void workers_lost_at_short_notice_under_full_lasting_load() {
        begin();
        for (const char* const leaving : {"w1", "w2", "w3"})
            world_.list_worker(leaving, "leaving");
        world_.time().run_for(seconds(2));
        for (const char* const gone : {"w1", "w2", "w3", "w4", "w5", "w6", "w7"})
            lose_worker(gone);
        all_lasting_run_within(seconds(9));
        end();
    }
    void a_data_centre_lost_at_the_peak() {
        begin();
        std::size_t lost = 0;
        for (auto& [name, entry] : world_.fleet().workers)
            if (entry.listing.data_centre == data_centre_id("dc-1") && ++lost <= workers / 4)
                lose_worker(name);
        for (std::size_t host = 1; host < hosts; host += 2)
            world_.kill_host(host);
        world_.time().run_for(seconds(12));
        for (std::size_t host = 1; host < hosts; host += 2)
            world_.start_host(host);
        all_lasting_run_within(seconds(6));
        // Meanwhile batch jobs were submitted for twice the remaining capacity.
        end(seconds(60));
    }
    /// Guards against a restart of all hosts after which no tasks are started for longer than the
    /// leases of the workers last.
    void all_hosts_without_power_at_the_end() {
        begin();
        for (std::size_t host = 0; host < hosts; ++host)
            world_.kill_host(host);
        world_.time().run_for(seconds(1));
        for (std::size_t host = 0; host < hosts; ++host)
            world_.start_host(host);
        world_.time().run_for(seconds(4));
        CPPUNIT_ASSERT(world_.coordinator().has_value());
        const std::uint64_t starts = world_.checker().starts;
        world_.time().run_for(seconds(2));
        CPPUNIT_ASSERT(world_.checker().starts > starts);
        all_lasting_run_within(seconds(4));
        end();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_load_test);

} // namespace
} // namespace figwinch::sim
