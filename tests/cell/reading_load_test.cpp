#include "tests/cell/cell_world.h"

#include <absl/strings/str_cat.h>

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch::sim {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Many hosts share a log with limited read bandwidth, which is enough for half of the hosts to
/// follow all jobs, not for all of them.
class reading_load_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(reading_load_test);
    CPPUNIT_TEST(reads_of_many_hosts_dont_collapse);
    CPPUNIT_TEST(many_hosts_serve_soon_after_a_restart_of_all);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t hosts = 60;
    static constexpr std::size_t strong = 6;
    static constexpr std::size_t workers = 20;
    /// The bandwidth of all reads together, in bytes per second.
    static constexpr double read_rate = 300'000;
    /// The time within which a published configuration must be in force on every host.
    static constexpr duration config_bound = seconds(4);

    cell_world world_{5, hosts, workers, {}, true, strong};
    int jobs_ = 0;
    std::vector<std::shared_ptr<std::optional<intake_outcome>>> outcomes_;

    /// Submits a job of twelve tasks every 50 ms, each through another host.
    void submit_continuously() {
        if (world_.host(static_cast<std::size_t>(jobs_) % hosts) != nullptr)
            outcomes_.push_back(
                world_.submit(static_cast<std::size_t>(jobs_) % hosts, absl::StrCat("job", jobs_),
                              cell_world::make_job({cell_world::make_step(12, 100)})));
        ++jobs_;
        world_.time().after(milliseconds(50), [this] { submit_continuously(); });
    }
    void start_cell() {
        world_.checker().failure_probability = 0;
        world_.store().read_rate = read_rate;
        world_.time().run_for(seconds(3));
        submit_continuously();
        world_.time().run_for(seconds(5));
    }
    std::size_t hosts_without(std::uint64_t version) {
        std::size_t without = 0;
        for (std::size_t host = 0; host < hosts; ++host) {
            const auto& config = world_.host(host)->member().config();
            without += config && config->version >= config_version(version) ? 0 : 1;
        }
        return without;
    }
    void config_is_in_force_everywhere(std::uint64_t version) {
        world_.store().append(cell_stream::operators, {{"config", std::to_string(version), 0}}, {});
        world_.time().run_for(config_bound);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, hosts_without(version));
    }
    std::size_t not_stored() {
        std::size_t count = 0;
        for (const auto& reply : outcomes_)
            count += reply->has_value() && **reply != intake_outcome::stored ? 1 : 0;
        return count;
    }
    void assert_invariants() {
        if (!world_.checker().violations.empty())
            CPPUNIT_FAIL(world_.checker().violations.front());
    }

public:
    /// Guards against hosts that all follow the whole log: together they exceed its bandwidth, time
    /// out and read again, which delays configurations and jobs as well.
    void reads_of_many_hosts_dont_collapse() {
        start_cell();
        for (const std::uint64_t version : {2U, 3U, 4U})
            config_is_in_force_everywhere(version);
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, not_stored());
        assert_invariants();
    }
    /// Guards against hosts that, after a restart of all, delay each other's loads by reading at
    /// the same time.
    void many_hosts_serve_soon_after_a_restart_of_all() {
        start_cell();
        for (std::size_t host = 0; host < hosts; ++host)
            world_.kill_host(host);
        world_.time().run_for(seconds(1));
        for (std::size_t host = 0; host < hosts; ++host)
            world_.start_host(host);
        world_.time().run_for(seconds(3));
        CPPUNIT_ASSERT(world_.coordinator().has_value());
        config_is_in_force_everywhere(2);
        outcomes_.clear();
        world_.time().run_for(seconds(3));
        CPPUNIT_ASSERT_EQUAL(std::size_t{0}, not_stored());
        assert_invariants();
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(reading_load_test);

} // namespace
} // namespace figwinch::sim
