#include "tests/cell/recovery_fixture.h"

#include <set>

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Placement constraints and preferences: labels, racks, limits per worker. Two racks of two
/// workers; the first worker of each rack has the label "wide".
class placement_rules_test : public recovery_fixture {
    CPPUNIT_TEST_SUITE(placement_rules_test);
    CPPUNIT_TEST(tasks_run_only_where_their_label_is);
    CPPUNIT_TEST(tasks_with_a_label_wait_when_no_worker_has_it);
    CPPUNIT_TEST(tasks_of_a_step_keep_apart);
    CPPUNIT_TEST(tasks_of_a_step_keep_apart_through_a_change_of_coordinator);
    CPPUNIT_TEST(tasks_run_near_their_data);
    CPPUNIT_TEST(tasks_run_elsewhere_when_the_rack_of_their_data_is_full);
    CPPUNIT_TEST(a_gang_stays_on_one_rack);
    CPPUNIT_TEST(a_gang_moves_to_the_other_rack_as_a_whole);
    CPPUNIT_TEST(a_gang_doesnt_start_in_part);
    CPPUNIT_TEST_SUITE_END();

    void set_up_racks() {
        int index = 0;
        for (auto& [name, entry] : world_.fleet().workers) {
            entry.listing.rack = rack_id(index < 2 ? "r0" : "r1");
            if (index++ % 2 == 0)
                entry.listing.labels = {"wide"};
        }
        start_cell();
    }
    static step_spec lasting_step(std::uint32_t tasks, std::int64_t cpu_millis) {
        step_spec step = cell_world::make_step(tasks, cpu_millis);
        step.is_service = true;
        return step;
    }
    void submit(const std::string& id, const step_spec& step) {
        world_.submit(0, id, cell_world::make_job({step}));
        world_.time().run_for(seconds(2));
    }
    std::vector<std::string> workers_of(const std::string& job, std::uint32_t tasks) {
        std::vector<std::string> found;
        for (const auto& [name, entry] : world_.fleet().workers)
            for (std::uint32_t index = 0; index < tasks; ++index)
                if (entry.worker->has(task(job, index)))
                    found.push_back(name);
        return found;
    }
    std::set<std::string> racks_of(const std::string& job, std::uint32_t tasks) {
        std::set<std::string> racks;
        for (const std::string& name : workers_of(job, tasks))
            racks.insert(world_.fleet().workers.at(name).listing.rack.str());
        return racks;
    }
    void change_coordinator() {
        world_.kill_host(*world_.coordinator());
        world_.time().run_for(seconds(4));
    }

public:
    /// Guards against a task on a worker without the label that it requires, also after a worker
    /// with the label is lost.
    void tasks_run_only_where_their_label_is() {
        set_up_racks();
        step_spec step = lasting_step(4, 500);
        step.label = "wide";
        submit("a", step);
        const std::set<std::string> labelled = {"w0", "w2"};
        for (const std::string& name : workers_of("a", 4))
            CPPUNIT_ASSERT(labelled.contains(name));
        lose_worker("w0");
        world_.time().run_for(max_down_time_after_loss);
        CPPUNIT_ASSERT((workers_of("a", 4) == std::vector<std::string>(4, "w2")));
        assert_invariants();
    }
    void tasks_with_a_label_wait_when_no_worker_has_it() {
        set_up_racks();
        step_spec step = cell_world::make_step(2, 500);
        step.label = "other";
        submit("a", step);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world_.checker().starts);
        submit("b", cell_world::make_step(2, 500));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{2}, world_.checker().starts);
    }
    /// Guards against more tasks of a step on a worker than its limit allows when no other worker
    /// is free.
    void tasks_of_a_step_keep_apart() {
        set_up_racks();
        step_spec step = lasting_step(6, 100);
        step.max_per_worker = 1;
        submit("a", step);
        CPPUNIT_ASSERT((workers_of("a", 6) == std::vector<std::string>{"w0", "w1", "w2", "w3"}));
        lose_worker("w1");
        world_.time().run_for(max_down_time_after_loss);
        CPPUNIT_ASSERT((workers_of("a", 6) == std::vector<std::string>{"w0", "w2", "w3"}));
        assert_invariants();
    }
    /// Guards against a successor that does not count the runs that it has adopted.
    void tasks_of_a_step_keep_apart_through_a_change_of_coordinator() {
        set_up_racks();
        step_spec step = lasting_step(6, 100);
        step.max_per_worker = 1;
        submit("a", step);
        change_coordinator();
        CPPUNIT_ASSERT((workers_of("a", 6) == std::vector<std::string>{"w0", "w1", "w2", "w3"}));
        assert_invariants();
    }
    void tasks_run_near_their_data() {
        set_up_racks();
        step_spec step = lasting_step(6, 1000);
        step.preferred_rack = rack_id("r1");
        submit("a", step);
        CPPUNIT_ASSERT((racks_of("a", 6) == std::set<std::string>{"r1"}));
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, workers_of("a", 6).size());
    }
    /// Guards against tasks that wait for the preferred rack while others have free resources.
    void tasks_run_elsewhere_when_the_rack_of_their_data_is_full() {
        set_up_racks();
        step_spec step = lasting_step(12, 1000);
        step.preferred_rack = rack_id("r1");
        submit("a", step);
        assert_all_run("a", 12);
        assert_invariants();
    }
    /// Guards against a gang that runs at a fraction of its speed because it is split over two
    /// racks.
    void a_gang_stays_on_one_rack() {
        set_up_racks();
        step_spec step = lasting_step(7, 1000);
        step.gang = step.one_rack = true;
        submit("a", step);
        submit("b", step);
        assert_all_run("a", 7);
        assert_all_run("b", 7);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, racks_of("a", 7).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, racks_of("b", 7).size());
        assert_invariants();
    }
    /// Guards against members of a gang that restart on its previous rack, where they no longer fit
    /// together.
    void a_gang_moves_to_the_other_rack_as_a_whole() {
        set_up_racks();
        step_spec step = lasting_step(7, 1000);
        step.gang = step.one_rack = true;
        submit("a", step);
        const std::string before = *racks_of("a", 7).begin();
        lose_worker(before == "r0" ? "w1" : "w3");
        // When some members of a gang are lost, the others end too.
        sim_worker& remaining = worker(before == "r0" ? "w0" : "w2");
        for (std::uint32_t index = 0; index < 7; ++index)
            if (remaining.has(task("a", index)))
                remaining.end_run(task("a", index), run_end::gang_ended);
        world_.time().run_for(max_down_time_after_loss);
        assert_all_run("a", 7);
        CPPUNIT_ASSERT((racks_of("a", 7) == std::set<std::string>{before == "r0" ? "r1" : "r0"}));
        assert_invariants();
    }
    /// Guards against starting some members of a gang while there is no room for the others.
    void a_gang_doesnt_start_in_part() {
        set_up_racks();
        step_spec step = cell_world::make_step(9, 1000);
        step.gang = step.one_rack = true;
        submit("a", step);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, world_.checker().starts);
        submit("b", cell_world::make_step(4, 1000));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, world_.checker().starts);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_rules_test);

} // namespace
} // namespace figwinch::sim
