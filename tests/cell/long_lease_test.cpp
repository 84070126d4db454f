#include "tests/cell/recovery_fixture.h"

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

cell_settings with_lease(duration lease) {
    cell_settings settings;
    settings.max_granted_lease = lease;
    return settings;
}

job_spec lasting_job(std::uint32_t tasks) {
    step_spec step = cell_world::make_step(tasks, 1000);
    step.is_service = true;
    return cell_world::make_job({step});
}

void replace_coordinator(cell_world& world) {
    const std::size_t leading = *world.coordinator();
    world.kill_host(leading);
    world.start_host(leading);
}

/// Workers may grant leases that last longer than an unlisted worker is remembered.
class long_lease_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(long_lease_test);
    CPPUNIT_TEST(the_record_of_an_unlisted_worker_stays_until_its_leases_have_ended);
    CPPUNIT_TEST(tasks_of_an_unlisted_worker_that_may_hold_a_long_lease_run_once);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint32_t task_count = 8;
    cell_world world_{7, 3, 4, with_lease(seconds(30))};

    /// A worker holds the longest lease, and is then cut off and unlisted. A coordinator that has
    /// listed it once forgets it while the lease lasts.
    void forget_a_worker_that_runs() {
        world_.checker().failure_probability = 0;
        world_.time().run_for(seconds(2));
        world_.submit(0, "a", lasting_job(task_count));
        world_.time().run_for(seconds(40));
        // A start for the former life reaches the new one, which grants the longest lease.
        world_.fleet().reaches_one_incarnation = [](run_number) { return false; };
        std::string to_worker;
        world_.fleet().on_start_sent = [&](const std::string& to, const std::string&) {
            if (!to_worker.empty())
                return;
            to_worker = to;
            world_.fleet().workers.at(to).worker->reborn();
        };
        for (std::uint32_t index = 0; index < task_count; ++index) {
            const std::string name = "a.0.0." + std::to_string(index);
            if (world_.fleet().workers.at("w0").worker->has(name)) {
                world_.fleet().workers.at("w0").worker->fail_run(name);
                break;
            }
        }
        for (int steps = 0; steps < 2000 && to_worker.empty(); ++steps)
            world_.time().run_for(milliseconds(2));
        CPPUNIT_ASSERT(!to_worker.empty());
        world_.fleet().on_start_sent = nullptr;
        world_.time().run_for(milliseconds(1200));
        worker_ = to_worker;
        CPPUNIT_ASSERT(running() > 0);
        world_.fleet().workers.at(worker_).cut = true;
        replace_coordinator(world_);
        world_.time().run_for(seconds(2));
        world_.unlist_worker(worker_);
        world_.time().run_for(seconds(17));
        CPPUNIT_ASSERT(running() > 0);
    }
    std::size_t running() { return world_.fleet().workers.at(worker_).worker->running(); }
    std::string record() {
        const auto& newest = world_.store().of(cell_stream::progress).newest;
        const auto row = newest.find(record_key(record_kind::worker, worker_));
        return row == newest.end() ? "" : row->second.value.value_or("");
    }
    std::string worker_;

public:
    /// Guards against the removal of the record of a worker whose leases have not ended yet,
    /// because the platform lists it no more.
    void the_record_of_an_unlisted_worker_stays_until_its_leases_have_ended() {
        forget_a_worker_that_runs();
        CPPUNIT_ASSERT(!record().empty());
    }
    /// The same; the next coordinator takes the absent record for proof that nothing runs there.
    void tasks_of_an_unlisted_worker_that_may_hold_a_long_lease_run_once() {
        forget_a_worker_that_runs();
        replace_coordinator(world_);
        world_.time().run_for(seconds(40));
        if (!world_.checker().violations.empty())
            CPPUNIT_FAIL(world_.checker().violations.front());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(long_lease_test);

} // namespace
} // namespace figwinch::sim
