#include "tests/cell/cell_world.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <malloc.h>

namespace figwinch::sim {
namespace {

using std::chrono::seconds;

/// The largest job that is accepted, on hosts with little memory.
class large_job_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(large_job_test);
    CPPUNIT_TEST(the_largest_job_takes_a_fifth_of_a_hosts_memory);
    CPPUNIT_TEST_SUITE_END();

    static constexpr std::size_t host_bytes = 260'000'000;

    /// Bytes that are allocated; 0 under sanitizers.
    static std::size_t allocated() {
        const auto info = ::mallinfo2();
        return info.uordblks + info.hblkhd;
    }

public:
    /// Guards against a coordinator that the platform ends because one accepted job takes more
    /// memory than its host has.
    void the_largest_job_takes_a_fifth_of_a_hosts_memory() {
        cell_world world(7, 1, 2);
        world.checker().failure_probability = 0;
        world.time().run_for(seconds(2));
        const job_spec largest =
            cell_world::make_job(std::vector<step_spec>(8, cell_world::make_step(10'000, 1000)));
        CPPUNIT_ASSERT(validate_job_size(largest).ok());
        const std::size_t before = allocated();
        world.submit(0, "a", largest);
        world.time().run_for(seconds(1));
        CPPUNIT_ASSERT(world.host(0)->member().coordinating()->counts().running > 0);
        CPPUNIT_ASSERT(allocated() - before < host_bytes / 5);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(large_job_test);

} // namespace
} // namespace figwinch::sim
