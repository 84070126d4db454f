#include "figwinch/placement.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace figwinch {
namespace {

class candidate_index_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(candidate_index_test);
    CPPUNIT_TEST(workers_with_most_free_cpu_come_first);
    CPPUNIT_TEST(workers_of_other_services_are_not_visited);
    CPPUNIT_TEST(similar_workers_are_rotated);
    CPPUNIT_TEST(a_tag_lookup_visits_only_tagged_workers);
    CPPUNIT_TEST(a_sample_spans_all_buckets);
    CPPUNIT_TEST(a_small_index_is_sampled_completely);
    CPPUNIT_TEST(removed_workers_are_not_visited);
    CPPUNIT_TEST(random_updates_keep_the_index_consistent);
    CPPUNIT_TEST_SUITE_END();

    using slots = std::vector<worker_slot>;
    const service_id service_{"yard"};
    candidate_index index_;

    void put(worker_slot worker, std::int64_t free, std::vector<tag_number> tags = {}) {
        index_.put(worker, {service_, free, free, std::move(tags)});
    }
    static candidate_index::visitor append_to(slots& seen) {
        return [&seen](worker_slot worker) {
            seen.push_back(worker);
            return true;
        };
    }
    slots free_from(std::int64_t min_millis, std::uint64_t rotation = 0) const {
        slots seen;
        index_.visit_free(service_, min_millis, rotation, append_to(seen));
        return seen;
    }
    slots sample(std::size_t max_count, std::uint64_t rotation) const {
        slots seen;
        index_.visit_best_effort(service_, 0, max_count, rotation, append_to(seen));
        return seen;
    }

public:
    /// Guards against placing tasks on busy workers while others have more free CPU.
    void workers_with_most_free_cpu_come_first() {
        put(0, 1000);
        put(1, 9000);
        put(2, 4000);
        CPPUNIT_ASSERT((free_from(2000) == slots{1, 2}));
    }
    /// Guards against starting a task on a worker of another service.
    void workers_of_other_services_are_not_visited() {
        put(0, 1000);
        index_.put(1, {service_id("other"), 1000, 1000, {}});
        CPPUNIT_ASSERT(free_from(0) == slots{0});
        put(1, 1000);
        CPPUNIT_ASSERT_EQUAL(std::size_t{2}, free_from(0).size());
    }
    /// Guards against always offering the same worker first among workers with equal free CPU.
    void similar_workers_are_rotated() {
        for (worker_slot worker = 0; worker < 4; ++worker)
            put(worker, 1000);
        std::set<worker_slot> first;
        for (std::uint64_t rotation = 0; rotation < 4; ++rotation)
            first.insert(free_from(0, rotation).front());
        CPPUNIT_ASSERT_EQUAL(std::size_t{4}, first.size());
    }
    /// Guards against a lookup by rack or label that returns workers without that tag, including
    /// a worker whose tag was removed.
    void a_tag_lookup_visits_only_tagged_workers() {
        const tag_number rack = index_.tag("rack r1");
        CPPUNIT_ASSERT_EQUAL(rack, index_.tag("rack r1"));
        put(0, 1000, {rack});
        put(1, 2000);
        put(2, 3000, {rack});
        slots seen;
        index_.visit_tagged(service_, rack, 0, 0, append_to(seen));
        CPPUNIT_ASSERT((seen == slots{2, 0}));
        put(2, 3000);
        seen.clear();
        index_.visit_tagged(service_, rack, 0, 0, append_to(seen));
        CPPUNIT_ASSERT(seen == slots{0});
    }
    /// Guards against a sample that leaves out workers with little CPU left for best-effort tasks:
    /// such a worker may run the services that a best-effort task slows least.
    void a_sample_spans_all_buckets() {
        for (worker_slot worker = 0; worker < 100; ++worker)
            put(worker, worker < 50 ? 1000 : 9000);
        const slots seen = sample(10, 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, seen.size());
        const auto low =
            std::ranges::count_if(seen, [](worker_slot worker) { return worker < 50; });
        CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{5}, low);
    }
    /// Guards against skipping a worker when the index holds no more workers than the sample size.
    void a_small_index_is_sampled_completely() {
        for (worker_slot worker = 0; worker < 7; ++worker)
            put(worker, std::int64_t{1000} * worker);
        for (std::uint64_t rotation = 0; rotation < 9; ++rotation)
            CPPUNIT_ASSERT_EQUAL(std::size_t{7}, sample(7, rotation).size());
    }
    /// Guards against starting a task on a worker that was removed.
    void removed_workers_are_not_visited() {
        put(0, 1000);
        put(1, 1000);
        index_.remove(0);
        index_.remove(0);
        CPPUNIT_ASSERT(free_from(0) == slots{1});
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, index_.size());
    }
    /// Guards against workers that are lost or listed twice after many random insertions, removals
    /// and moves between buckets.
    void random_updates_keep_the_index_consistent() {
        constexpr worker_slot workers = 40;
        std::uint64_t drawn = 1;
        for (int change = 0; change < 5000; ++change) {
            drawn = drawn * 6364136223846793005U + 1442695040888963407U;
            const auto worker = static_cast<worker_slot>((drawn >> 33U) % workers);
            if ((drawn >> 60U) == 0)
                index_.remove(worker);
            else
                put(worker, static_cast<std::int64_t>((drawn >> 40U) % 16'000));
        }
        for (worker_slot worker = 0; worker < workers; ++worker)
            put(worker, std::int64_t{500} * worker);
        slots seen = free_from(0);
        std::ranges::sort(seen);
        CPPUNIT_ASSERT_EQUAL(std::size_t{workers}, seen.size());
        CPPUNIT_ASSERT(std::ranges::adjacent_find(seen) == seen.end());
        CPPUNIT_ASSERT_EQUAL(std::size_t{20}, free_from(10'000).size());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(candidate_index_test);

} // namespace
} // namespace figwinch
