#include "figwinch/placement.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

namespace figwinch {
namespace {

class shape_check_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(shape_check_test);
    CPPUNIT_TEST(what_fits_an_idle_worker_passes);
    CPPUNIT_TEST(a_refusal_names_the_limit_and_the_nearest_shape);
    CPPUNIT_TEST(only_allowed_data_centres_count);
    CPPUNIT_TEST_SUITE_END();

public:
    void setUp() override {
        add("large", "one", {32000, 131072, 0});
        add("with-accelerator", "two", {16000, 61440, 2});
    }

private:
    manifest config_;

    void add(const std::string& name, const std::string& centre, const resources& capacity) {
        worker_spec worker;
        worker.name = worker_id(name);
        worker.data_centre = data_centre_id(centre);
        worker.capacity = capacity;
        config_.workers.push_back(worker);
    }

    void what_fits_an_idle_worker_passes() {
        CPPUNIT_ASSERT(!check_shape(config_, {32000, 131072, 0}, {}));
        CPPUNIT_ASSERT(!check_shape(config_, {1000, 1024, 2}, {}));
    }

    // Guards against a job that waits forever because it requests more cores (64) than any worker
    // has (32).
    void a_refusal_names_the_limit_and_the_nearest_shape() {
        const auto refusal = check_shape(config_, {64000, 1024, 0}, {});
        CPPUNIT_ASSERT(refusal.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("large"), refusal->nearest.str());
        CPPUNIT_ASSERT_EQUAL(std::string("cpu_millis of 64000 exceeds 32000; nearest worker shape: "
                                         "32000m/131072MiB/0acc (large)"),
                             refusal->reason);
    }

    void only_allowed_data_centres_count() {
        const auto refusal = check_shape(config_, {1000, 1024, 1}, {data_centre_id("one")});
        CPPUNIT_ASSERT(refusal.has_value());
        CPPUNIT_ASSERT_EQUAL(std::string("large"), refusal->nearest.str());
        CPPUNIT_ASSERT(check_shape(config_, {1, 1, 0}, {data_centre_id("none")}).has_value());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shape_check_test);

} // namespace
} // namespace figwinch
