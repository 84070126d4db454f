#include "tests/cell/recovery_fixture.h"

#include <utility>

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// How soon a task runs again if its worker is lost at its start, where hosts relay orders.
class linked_loss_test : public recovery_fixture {
    CPPUNIT_TEST_SUITE(linked_loss_test);
    CPPUNIT_TEST(a_task_whose_worker_is_lost_at_its_start_runs_elsewhere);
    CPPUNIT_TEST(a_task_whose_worker_and_passing_hosts_are_lost_runs_elsewhere);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t workers = 8;
    static constexpr std::uint32_t tasks = 8;

    /// Loses the worker of a relayed start order as the order is sent, then calls `then`.
    template <class Then>
    void lose_worker_at_a_start(const Then& then) {
        start_cell();
        world_.submit(0, "a", service_job(tasks));
        world_.time().run_for(seconds(15));
        assert_all_run("a", tasks);
        std::string from;
        for (const auto& [name, entry] : world_.fleet().workers)
            if (entry.worker->running() > 0)
                from = name;
        const std::string failing = task_on(from, "a", tasks);
        bool lost = false;
        world_.fleet().reaches_one_incarnation = [](run_number) { return true; };
        world_.fleet().on_start_sent = [&](const std::string& to, const std::string& started) {
            if (started != failing || std::exchange(lost, true))
                return;
            lose_worker(to);
            world_.time().after(duration::zero(), then);
        };
        worker(from).fail_run(failing);
        run_until([&] { return lost; });
        world_.time().run_for(max_down_time_after_loss);
        assert_all_run("a", tasks);
        assert_invariants();
    }

public:
    linked_loss_test() : recovery_fixture(workers, true) {}

    /// Guards against waiting for a relayed start order as long as the longest lease that workers
    /// grant.
    void a_task_whose_worker_is_lost_at_its_start_runs_elsewhere() {
        lose_worker_at_a_start([] {});
    }
    /// Guards against waiting for a relayed start order as long as the longest lease that workers
    /// grant, where the relays that know over which connection it went are lost too.
    void a_task_whose_worker_and_passing_hosts_are_lost_runs_elsewhere() {
        lose_worker_at_a_start([this] {
            const std::size_t coordinating_host = *world_.coordinator();
            for (std::size_t host = 0; host < world_.hosts(); ++host)
                if (host != coordinating_host)
                    world_.kill_host(host);
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(linked_loss_test);

} // namespace
} // namespace figwinch::sim
