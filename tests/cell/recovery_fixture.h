#pragma once

#include "figwinch/cell/record_codec.h"
#include "tests/cell/cell_world.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch::sim {

/// Tasks that last have to run again within this time of the end of a run, when there is room.
constexpr duration longest_down = std::chrono::seconds(6);
/// Those of a worker that is lost, within this time, in which the worker's silence is noticed.
constexpr duration longest_after_loss = std::chrono::seconds(9);
/// And urgent work starts within this time.
constexpr duration longest_to_start = std::chrono::milliseconds(4900);

/// A cell of three hosts and four workers that grant leases of 10 s, for tests of how soon tasks
/// run again.
class recovery_fixture : public CppUnit::TestFixture {
protected:
    recovery_fixture() : recovery_fixture(4, false) {}
    /// `linked`: hosts reach one another over the bus.
    recovery_fixture(std::size_t workers, bool linked)
        : world_(7, 3, workers, with_lease(std::chrono::seconds(10)), linked) {}

    cell_world world_;

    static job_spec lasting(std::uint32_t tasks) {
        step_spec step = cell_world::make_step(tasks, 1000);
        step.is_service = true;
        return cell_world::make_job({step});
    }
    static std::string task(const std::string& job, std::uint32_t index) {
        return job + ".0.0." + std::to_string(index);
    }
    sim_worker& worker(const std::string& name) { return *world_.fleet().workers.at(name).worker; }
    void begin() {
        world_.checker().failure_probability = 0;
        world_.time().run_for(std::chrono::seconds(2));
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
        constexpr duration step = std::chrono::milliseconds(2);
        constexpr int most_steps = 1000;
        for (int steps = 0; steps < most_steps && !check(); ++steps)
            world_.time().run_for(step);
        CPPUNIT_ASSERT(check());
    }
    /// The worker is gone for good, which its host's silence doesn't tell.
    void lose(const std::string& name) {
        world_.fleet().workers.at(name).cut = true;
        worker(name).reborn();
        world_.time().after(std::chrono::seconds(3), [this, name] { world_.unlist_worker(name); });
    }
    void all_run(const std::string& job, std::uint32_t tasks) {
        for (std::uint32_t index = 0; index < tasks; ++index)
            CPPUNIT_ASSERT(world_.checker().is_running(task(job, index)));
    }
    void kept_the_rules() {
        if (!world_.checker().violations.empty())
            CPPUNIT_FAIL(world_.checker().violations.front());
    }

private:
    static cell_settings with_lease(duration lease) {
        cell_settings settings;
        settings.max_hold = lease;
        return settings;
    }
};

} // namespace figwinch::sim
