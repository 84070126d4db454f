#include "tests/cell/recovery_fixture.h"

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Workers whose capacity shrinks and grows while they run tasks.
class capacity_change_test : public recovery_fixture {
    CPPUNIT_TEST_SUITE(capacity_change_test);
    CPPUNIT_TEST(a_worker_that_has_shrunk_takes_only_what_fits);
    CPPUNIT_TEST(a_worker_that_grows_again_takes_tasks);
    CPPUNIT_TEST(an_earlier_capacity_isnt_relied_on_without_the_log);
    CPPUNIT_TEST(a_start_that_waited_for_its_record_follows_the_capacity);
    CPPUNIT_TEST_SUITE_END();

    static constexpr resources small{1000, 16'384, 0};
    static constexpr resources large{4000, 16'384, 0};

    void resize_all(const resources& capacity) {
        for (const auto& [name, entry] : world_.fleet().workers)
            world_.resize_worker(name, capacity);
    }
    void submit_batch(const std::string& id) {
        world_.submit(0, id, cell_world::make_job({cell_world::make_step(4, 900)}));
    }

public:
    /// Guards against starts that count on the capacity that a worker had, while what runs there
    /// takes more than is left.
    void a_worker_that_has_shrunk_takes_only_what_fits() {
        start_cell();
        world_.submit(0, "a", service_job(8));
        world_.time().run_for(seconds(3));
        resize_all(small);
        for (const std::string id : {"b", "c", "d"}) {
            submit_batch(id);
            world_.time().run_for(seconds(3));
        }
        assert_all_run("a", 8);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{8}, world_.checker().starts - batch_starts());
        assert_invariants();
    }
    /// Guards against capacity that stays unused after a worker has grown back.
    void a_worker_that_grows_again_takes_tasks() {
        start_cell();
        world_.submit(0, "a", service_job(8));
        world_.time().run_for(seconds(3));
        resize_all(small);
        world_.time().run_for(seconds(6));
        submit_batch("b");
        world_.time().run_for(seconds(3));
        CPPUNIT_ASSERT(!world_.checker().has_started(task("b", 0)));
        resize_all(large);
        world_.time().run_for(seconds(6));
        CPPUNIT_ASSERT(world_.checker().has_succeeded(task("b", 0)));
        assert_invariants();
    }
    /// Workers shrink while the coordinator has lost the log, and a task ends on one of them.
    /// Guards against a start on the strength of a capacity that is seconds old.
    void an_earlier_capacity_isnt_relied_on_without_the_log() {
        start_cell();
        world_.submit(0, "a", service_job(12));
        world_.time().run_for(seconds(3));
        for (std::size_t host = 0; host < world_.hosts(); ++host)
            world_.host(host)->way_to_log().state = sim_log::way::silent;
        resize_all(small);
        world_.time().run_for(milliseconds(4300));
        const std::string failing = task_on("w1", "a", 12);
        worker("w1").fail_run(failing);
        world_.time().run_for(seconds(3));
        assert_invariants();
    }

    /// Workers shrink while starts wait until the log has a record of them. Guards against starts
    /// that were placed by a capacity which is no longer there when they are ordered.
    void a_start_that_waited_for_its_record_follows_the_capacity() {
        start_cell();
        set_stuck(cell_stream::progress);
        submit_batch("b");
        world_.time().run_for(seconds(1));
        resize_all({500, 16'384, 0});
        world_.time().run_for(seconds(5));
        set_stuck(std::nullopt);
        world_.time().run_for(seconds(5));
        assert_invariants();
        resize_all(large);
        world_.time().run_for(seconds(6));
        CPPUNIT_ASSERT(world_.checker().has_succeeded(task("b", 0)));
    }

private:
    void set_stuck(std::optional<cell_stream> stream) {
        for (std::size_t host = 0; host < world_.hosts(); ++host)
            world_.host(host)->way_to_log().stuck = stream;
    }
    std::uint64_t batch_starts() {
        std::uint64_t started = 0;
        for (const std::string id : {"b", "c", "d"})
            for (std::uint32_t index = 0; index < 4; ++index)
                started += world_.checker().has_started(task(id, index)) ? 1 : 0;
        return started;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(capacity_change_test);

} // namespace
} // namespace figwinch::sim
