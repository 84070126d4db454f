#include "figwinch/cell/record_codec.h"
#include "tests/cell/cell_world.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The log must name every worker that may have tasks.
class worker_record_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(worker_record_test);
    CPPUNIT_TEST(a_worker_that_comes_back_while_the_log_is_slow_stays_recorded);
    CPPUNIT_TEST_SUITE_END();

    cell_world world_{7, 3, 4};

    std::optional<worker_entry> recorded(const std::string& worker) {
        const auto& newest = world_.store().of(cell_stream::progress).newest;
        const auto row = newest.find(record_key(record_kind::worker, worker));
        return row == newest.end() ? std::nullopt : decode_worker(row->second.value.value_or(""));
    }

public:
    /// A worker is unreachable for seconds and answers again while the log accepts no progress
    /// records. Its return waits to be recorded when its lease expires. Guards against writing the
    /// removal of its record after that: the coordinator used the worker again, the log did not
    /// name it, and the next coordinator started its tasks a second time.
    void a_worker_that_comes_back_while_the_log_is_slow_stays_recorded() {
        world_.time().run_for(seconds(2));
        sim_log& log = world_.host(*world_.coordinator())->way_to_log();
        world_.fleet().workers.at("w1").cut = true;
        for (int steps = 0; steps < 500 && !recorded("w1")->unresponsive; ++steps)
            world_.time().run_for(milliseconds(10));
        CPPUNIT_ASSERT(recorded("w1")->unresponsive);
        log.stuck = cell_stream::progress;
        world_.fleet().workers.at("w1").cut = false;
        world_.time().run_for(seconds(8));
        log.stuck.reset();
        world_.time().run_for(seconds(2));
        CPPUNIT_ASSERT(recorded("w1").has_value());
        CPPUNIT_ASSERT(!recorded("w1")->unresponsive);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_record_test);

} // namespace
} // namespace figwinch::sim
