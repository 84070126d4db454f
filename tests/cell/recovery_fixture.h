#pragma once

#include "figwinch/cell/record_codec.h"
#include "tests/cell/cell_world.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch::sim {

/// A service task must run again within this time of the end of its last run, if there is room.
constexpr duration max_down_time = std::chrono::seconds(6);
/// A service task on a lost worker must run again within this time, which includes detecting that
/// the worker is unresponsive.
constexpr duration max_down_time_after_loss = std::chrono::seconds(9);
/// Tasks of short jobs must start within this time, however long the lease of an unreachable worker
/// is.
constexpr duration max_start_delay = std::chrono::milliseconds(4900);

/// A cell of three hosts and four workers that grant leases of 10 s, to test how soon service tasks
/// run again after faults.
class recovery_fixture : public CppUnit::TestFixture {
protected:
    recovery_fixture() : recovery_fixture(4, false) {}
    /// `linked`: hosts reach one another over the bus and may relay orders.
    recovery_fixture(std::size_t workers, bool linked)
        : world_(7, 3, workers, with_lease(std::chrono::seconds(10)), linked) {}

    cell_world world_;

    static job_spec service_job(std::uint32_t tasks) {
        step_spec step = cell_world::make_step(tasks, 1000);
        step.is_service = true;
        return cell_world::make_job({step});
    }
    static std::string task(const std::string& job, std::uint32_t index) {
        return job + ".0.0." + std::to_string(index);
    }
    sim_worker& worker(const std::string& name) { return *world_.fleet().workers.at(name).worker; }
    void start_cell() {
        world_.checker().failure_probability = 0;
        world_.time().run_for(std::chrono::seconds(2));
    }
    /// Returns a task of this job that runs on this worker.
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
    /// Advances the simulated time until the condition holds, in steps short enough to stop right
    /// after it does.
    template <class Check>
    void run_until(const Check& check) {
        constexpr duration step = std::chrono::milliseconds(2);
        constexpr int max_steps = 1000;
        for (int steps = 0; steps < max_steps && !check(); ++steps)
            world_.time().run_for(step);
        CPPUNIT_ASSERT(check());
    }
    /// Loses a worker for good: it becomes unreachable, its runs end, and the platform unlists it 3
    /// s later.
    void lose_worker(const std::string& name) {
        world_.fleet().workers.at(name).cut = true;
        worker(name).reborn();
        world_.time().after(std::chrono::seconds(3), [this, name] { world_.unlist_worker(name); });
    }
    /// Replaces the coordinator; another host takes over at once.
    void replace_coordinator() {
        const std::size_t leading = *world_.coordinator();
        world_.kill_host(leading);
        world_.start_host(leading);
    }
    /// Replaces the coordinator and returns how many workers its successor waits for once it has
    /// heard of the others.
    std::size_t unresolved_after_replacement() {
        replace_coordinator();
        run_until([&] { return world_.coordinator().has_value(); });
        const auto* const acting = world_.host(*world_.coordinator())->member().coordinating();
        run_until([&] { return acting->counts().workers > 0; });
        world_.time().run_for(std::chrono::milliseconds(100));
        return acting->counts().workers_unresolved;
    }
    void assert_all_run(const std::string& job, std::uint32_t tasks) {
        for (std::uint32_t index = 0; index < tasks; ++index)
            CPPUNIT_ASSERT(world_.checker().is_running(task(job, index)));
    }
    void assert_invariants() {
        if (!world_.checker().violations.empty())
            CPPUNIT_FAIL(world_.checker().violations.front());
    }

private:
    static cell_settings with_lease(duration lease) {
        cell_settings settings;
        settings.max_granted_lease = lease;
        return settings;
    }
};

} // namespace figwinch::sim
