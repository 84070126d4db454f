#include "tests/cell/recovery_fixture.h"

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A worker may be back under its id with other labels and another capacity, and its listing lags
/// behind its report.
class restarted_worker_kind_test : public recovery_fixture {
    CPPUNIT_TEST_SUITE(restarted_worker_kind_test);
    CPPUNIT_TEST(a_restarted_worker_gets_no_tasks_for_its_former_label);
    CPPUNIT_TEST(a_restarted_worker_gets_tasks_once_it_is_listed_anew);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::uint32_t task_count = 8;

    sim_fleet::entry& entry(const std::string& name) { return world_.fleet().workers.at(name); }
    /// Lists a worker's current incarnation with this label.
    void list_as(const std::string& name, const std::string& label) {
        entry(name).listing.incarnation = worker(name).born_ms();
        entry(name).listing.labels = {label};
        world_.list_worker(name, "ready");
    }
    /// Only "w1" has the label "wide", and runs as many tasks of job "a" as fit.
    void start_labelled_cell() {
        for (const char* const name : {"w0", "w2", "w3"})
            list_as(name, "narrow");
        list_as("w1", "wide");
        start_cell();
        step_spec step = cell_world::make_step(task_count, 1000);
        step.is_service = true;
        step.label = "wide";
        world_.submit(0, "a", cell_world::make_job({step}));
        world_.time().run_for(seconds(2));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, worker("w1").running());
    }

public:
    /// Guards against starting tasks on a worker without the label that they require: the listing
    /// of its former incarnation has the label.
    void a_restarted_worker_gets_no_tasks_for_its_former_label() {
        start_labelled_cell();
        worker("w1").reborn();
        world_.time().run_for(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, worker("w1").running());
        list_as("w1", "narrow");
        world_.time().run_for(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, worker("w1").running());
        assert_invariants();
    }
    /// Guards against keeping a restarted worker out of use.
    void a_restarted_worker_gets_tasks_once_it_is_listed_anew() {
        start_labelled_cell();
        worker("w1").reborn();
        world_.time().run_for(seconds(1));
        list_as("w1", "wide");
        world_.time().run_for(seconds(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, worker("w1").running());
        assert_invariants();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(restarted_worker_kind_test);

} // namespace
} // namespace figwinch::sim
