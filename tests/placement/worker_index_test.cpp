#include "figwinch/placement.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <random>

namespace figwinch {
namespace {

class worker_index_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(worker_index_test);
    CPPUNIT_TEST(the_fullest_worker_that_fits_is_taken);
    CPPUNIT_TEST(workers_with_accelerators_are_kept_for_tasks_that_need_them);
    CPPUNIT_TEST(a_choice_always_fits_in_every_dimension);
    CPPUNIT_TEST_SUITE_END();

    worker_index index_;

    void put(const std::string& name, const resources& capacity, const resources& free_resources) {
        index_.put({worker_id(name), rack_id("r"), name, capacity, free_resources});
    }

    std::string pick(const resources& size) const {
        const auto best =
            index_.best_fit(size, [](const placement_worker&) { return std::optional<double>(0); });
        return best ? best->str() : "";
    }

    void the_fullest_worker_that_fits_is_taken() {
        put("empty", {16000, 16000, 0}, {16000, 16000, 0});
        put("half", {16000, 16000, 0}, {8000, 8000, 0});
        put("full", {16000, 16000, 0}, {1000, 16000, 0});
        CPPUNIT_ASSERT_EQUAL(std::string("half"), pick({2000, 1000, 0}));
        index_.remove(worker_id("half"));
        CPPUNIT_ASSERT_EQUAL(std::string("empty"), pick({2000, 1000, 0}));
        CPPUNIT_ASSERT_EQUAL(std::string(), pick({2000, 1000, 1}));
    }

    void workers_with_accelerators_are_kept_for_tasks_that_need_them() {
        put("plain", {16000, 16000, 0}, {16000, 16000, 0});
        put("accelerated", {16000, 16000, 2}, {16000, 16000, 2});
        CPPUNIT_ASSERT_EQUAL(std::string("plain"), pick({2000, 1000, 0}));
        CPPUNIT_ASSERT_EQUAL(std::string("accelerated"), pick({2000, 1000, 1}));
    }

    void a_choice_always_fits_in_every_dimension() {
        std::mt19937_64 random(7);
        const auto number = [&random](std::int64_t high) {
            return std::uniform_int_distribution<std::int64_t>(0, high)(random);
        };
        for (int i = 0; i < 200; ++i)
            put("w" + std::to_string(i), {16000, 16000, 4},
                {number(16000), number(16000), number(4)});
        for (int i = 0; i < 2000; ++i) {
            const resources size{number(16000), number(16000), number(4)};
            const std::string chosen = pick(size);
            if (!chosen.empty())
                CPPUNIT_ASSERT(fits(size, index_.find(worker_id(chosen))->free_resources));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(worker_index_test);

} // namespace
} // namespace figwinch
