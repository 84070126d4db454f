#include "tools/experiment/comparison.h"

#include "tools/experiment/quantile.h"
#include "tools/experiment/results.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <numeric>
#include <sstream>

namespace figwinch::experiment {
namespace {

constexpr double exact = 1e-12;

class comparison_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(comparison_test);
    CPPUNIT_TEST(known_numbers);
    CPPUNIT_TEST(an_even_count_has_its_median_between);
    CPPUNIT_TEST(one_pair_has_no_spread);
    CPPUNIT_TEST(days_are_compared_seed_by_seed);
    CPPUNIT_TEST(a_metric_without_a_value_isnt_compared);
    CPPUNIT_TEST(files_have_a_line_for_each_day_and_comparison);
    CPPUNIT_TEST(quantiles_by_nearest_rank);
    CPPUNIT_TEST_SUITE_END();

    static day_result day(const std::string& setup, std::uint64_t seed, double worth) {
        class_result one;
        one.name = "c";
        one.worth = worth;
        return {setup, seed, {one}};
    }
    static const comparison& find(const std::vector<comparison>& all, std::string_view metric) {
        for (const comparison& one : all)
            if (one.metric == metric)
                return one;
        CPPUNIT_FAIL("not compared: " + std::string(metric));
        return all.front();
    }

    void known_numbers() {
        // Differences 1, 2 and 6.
        const std::vector<double> first = {10, 20, 30};
        const std::vector<double> second = {12, 21, 36};
        const paired_difference found = compare_pairs(first, second);
        CPPUNIT_ASSERT_EQUAL(std::size_t{3}, found.pairs);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3, found.mean, exact);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2, found.median, exact);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(std::sqrt(7), found.spread, exact);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(std::sqrt(7.0 / 3), found.standard_error, exact);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, found.least, exact);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(6, found.most, exact);
    }
    void an_even_count_has_its_median_between() {
        const std::vector<double> first = {0, 0, 0, 0};
        const std::vector<double> second = {4, -1, 9, 2};
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3, compare_pairs(first, second).median, exact);
    }
    void one_pair_has_no_spread() {
        const std::vector<double> first = {1};
        const std::vector<double> second = {3};
        const paired_difference found = compare_pairs(first, second);
        CPPUNIT_ASSERT_EQUAL(2.0, found.mean);
        CPPUNIT_ASSERT_EQUAL(0.0, found.spread);
        CPPUNIT_ASSERT_EQUAL(0.0, found.standard_error);
    }
    /// Guards against differences of means, in which the seeds' own differences hide a small one.
    void days_are_compared_seed_by_seed() {
        const auto compared = compare_days({day("base", 1, 0.2), day("base", 2, 0.8)},
                                           {day("variant", 1, 0.3), day("variant", 2, 0.9)});
        const paired_difference& found = find(compared, "worth").difference;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, found.mean, exact);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, found.spread, exact);
    }
    void a_metric_without_a_value_isnt_compared() {
        const auto compared = compare_days({day("base", 1, 0.2)}, {day("variant", 1, 0.3)});
        for (const comparison& one : compared)
            CPPUNIT_ASSERT(one.metric != "p50_s" && one.metric != "share_served");
    }
    void files_have_a_line_for_each_day_and_comparison() {
        results found;
        found.days = {{day("base", 7, 0.25)}, {day("variant", 7, 0.5)}};
        found.compared = {
            {"c", "worth", compare_pairs(std::vector<double>{0.25}, std::vector<double>{0.5})}};
        std::ostringstream days;
        write_days_csv(days, found);
        CPPUNIT_ASSERT_EQUAL(
            std::string("setup,seed,class,handed_in,accepted,in_time,late,"
                        "failed,unfinished,p50_s,p99_s,share_served,worth,work,starts,"
                        "stops,lapses\n"
                        "base,7,c,0,0,0,0,0,0,,,,0.25,0,0,0,0\n"
                        "variant,7,c,0,0,0,0,0,0,,,,0.5,0,0,0,0\n"),
            days.str());
        std::ostringstream pairs;
        write_pairs_csv(pairs, found);
        CPPUNIT_ASSERT_EQUAL(
            std::string("class,metric,pairs,mean,median,spread,standard_error,least,most\n"
                        "c,worth,1,0.25,0.25,0,0,0.25,0.25\n"),
            pairs.str());
        std::ostringstream json;
        write_json(json, found);
        CPPUNIT_ASSERT(json.str().find("\"worth\": 0.25") != std::string::npos);
        CPPUNIT_ASSERT(json.str().find("p50_s") == std::string::npos);
    }
    void quantiles_by_nearest_rank() {
        std::vector<double> values(200);
        std::iota(values.rbegin(), values.rend(), 1);
        CPPUNIT_ASSERT_EQUAL(100.0, quantile(values, 0.5));
        CPPUNIT_ASSERT_EQUAL(198.0, quantile(values, 0.99));
        CPPUNIT_ASSERT_EQUAL(1.0, quantile(values, 0));
        CPPUNIT_ASSERT_EQUAL(200.0, quantile(values, 1));
        CPPUNIT_ASSERT_EQUAL(5.0, quantile({5}, 0.99));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(comparison_test);

} // namespace
} // namespace figwinch::experiment
