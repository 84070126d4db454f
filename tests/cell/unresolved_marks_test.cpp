#include "tests/cell/recovery_fixture.h"

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Tasks that any worker may run wait for workers in doubt from the first placement round on.
class unresolved_marks_test : public recovery_fixture {
    CPPUNIT_TEST_SUITE(unresolved_marks_test);
    CPPUNIT_TEST(a_doubt_counts_although_another_worker_has_reported);
    CPPUNIT_TEST_SUITE_END();

    void set_operators_unreadable(bool unreadable) {
        for (std::size_t host = 0; host < world_.hosts(); ++host)
            if (world_.host(host) != nullptr)
                world_.host(host)->way_to_log().unreadable =
                    unreadable ? std::optional(cell_stream::operators) : std::nullopt;
    }

public:
    /// Guards against a placement round that takes the marks of unresolved workers for current
    /// because as many workers have come into doubt as have reported. Placement waits for the
    /// operators' notices meanwhile.
    void a_doubt_counts_although_another_worker_has_reported() {
        start_cell();
        world_.time().run_for(seconds(10));
        world_.checker().long_run_share = 1;
        set_operators_unreadable(true);
        world_.time().run_for(milliseconds(3500));
        world_.submit(0, "b", cell_world::make_job({cell_world::make_step(1, 500)}));
        run_until([&] { return world_.checker().is_running(task("b", 0)); });
        world_.time().run_for(milliseconds(900));
        std::string busy;
        std::string calm;
        for (auto& [name, entry] : world_.fleet().workers) {
            if (entry.worker->has(task("b", 0)))
                busy = name;
            else
                calm = name;
        }
        for (auto& [name, entry] : world_.fleet().workers)
            entry.cut = name != calm;
        world_.store().append(cell_stream::progress,
                              {{record_key(record_kind::worker, busy), std::nullopt, 0}}, {});
        const std::size_t leading = *world_.coordinator();
        world_.kill_host(leading);
        run_until([&] { return world_.coordinator().has_value(); });
        const auto* const acting = world_.host(*world_.coordinator())->member().coordinating();
        run_until([&] { return acting->counts().workers_unresolved == 3; });
        world_.time().run_for(milliseconds(100));
        set_operators_unreadable(false);
        world_.time().run_for(seconds(4));
        assert_invariants();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(unresolved_marks_test);

} // namespace
} // namespace figwinch::sim
