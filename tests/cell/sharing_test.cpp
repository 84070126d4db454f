#include "cell/harm_table.h"
#include "cell/sharing_control.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <random>

namespace figwinch {
namespace {

using std::chrono::milliseconds;

/// The pattern: serving tasks at half their load, swinging by a third of their tail in seconds,
/// beside filling tasks of which some images hurt some serving images by factors and others not at
/// all; reports twice a second. It is what both kinds of deployment show all day.
class sharing_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(sharing_test);
    CPPUNIT_TEST(harms_of_pairs_are_told_apart);
    CPPUNIT_TEST(a_change_of_harm_is_followed);
    CPPUNIT_TEST(harmless_neighbours_work_at_full_speed);
    CPPUNIT_TEST(harmful_neighbours_are_slowed_just_enough);
    CPPUNIT_TEST(everything_stands_still_before_the_promise_breaks);
    CPPUNIT_TEST(a_successor_goes_on_from_the_record);
    CPPUNIT_TEST(bad_records_of_harms_are_passed_over);
    CPPUNIT_TEST(many_images_share_the_last_number);
    CPPUNIT_TEST_SUITE_END();

    static constexpr double own_mean = -1.1;
    std::mt19937_64 random_{5};

    double draw(double low, double high) {
        return std::uniform_real_distribution<double>(low, high)(random_);
    }
    /// Lets a table see `count` reports of one serving image beside two filling ones.
    void observe(harm_table& table, image_number serving, image_number hard, double harm,
                 image_number soft, int count) {
        for (int index = 0; index < count; ++index) {
            const std::vector<image_share> beside = {{hard, draw(0, 0.3)}, {soft, draw(0, 0.3)}};
            const double swing = draw(-0.4, 0.4);
            table.learn(serving, own_mean + swing + harm * beside[0].share, beside);
        }
    }

public:
    void harms_of_pairs_are_told_apart() {
        harm_table table;
        const image_number serving = table.number("serving");
        const image_number hard = table.number("hard");
        const image_number soft = table.number("soft");
        observe(table, serving, hard, 9, soft, 400);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(9, table.harm(serving, hard), 2);
        CPPUNIT_ASSERT(table.harm(serving, soft) < 1.5);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(own_mean, table.alone(serving), 0.3);
    }
    void a_change_of_harm_is_followed() {
        harm_table table;
        const image_number serving = table.number("serving");
        const image_number hard = table.number("hard");
        const image_number soft = table.number("soft");
        observe(table, serving, hard, 9, soft, 400);
        observe(table, serving, hard, 2, soft, 1500);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2, table.harm(serving, hard), 1.5);
    }
    void harmless_neighbours_work_at_full_speed() {
        harm_table table;
        const image_number serving = table.number("serving");
        const image_number hard = table.number("hard");
        const image_number soft = table.number("soft");
        observe(table, serving, hard, 9, soft, 1500);
        sharing_control control;
        // A high tide of its own load: slowing who doesn't matter wouldn't help.
        std::vector<filling_view> filling = {{soft, 0.1, 0.1}};
        control.decide(table, {{serving, std::log(0.95)}}, filling, instant{milliseconds(1000)});
        CPPUNIT_ASSERT_EQUAL(100, filling[0].percent);
    }
    void harmful_neighbours_are_slowed_just_enough() {
        harm_table table;
        const image_number serving = table.number("serving");
        const image_number hard = table.number("hard");
        const image_number soft = table.number("soft");
        observe(table, serving, hard, 9, soft, 400);
        sharing_control control;
        std::vector<filling_view> filling = {{hard, 0.25, 0.25}, {soft, 0.05, 0.05}};
        const double suffered = own_mean + 9 * 0.25;
        control.decide(table, {{serving, suffered}}, filling, instant{milliseconds(1000)});
        CPPUNIT_ASSERT(filling[0].percent > 10);
        CPPUNIT_ASSERT(filling[0].percent < 70);
        CPPUNIT_ASSERT_EQUAL(100, filling[1].percent);
    }
    /// Story: nothing is known of a pair and the tail stays over its target. The promise allows
    /// some seconds of that; before they are over nothing that fills may work.
    void everything_stands_still_before_the_promise_breaks() {
        harm_table table;
        const image_number serving = table.number("serving");
        const image_number soft = table.number("soft");
        for (int index = 0; index < 2000; ++index)
            table.learn(serving, own_mean, std::vector<image_share>{{soft, 0.3}});
        sharing_control control;
        std::vector<filling_view> filling = {{soft, 0.1, 0.1}};
        for (int ms = 0; ms <= 2500; ms += 500) {
            filling = {{soft, 0.1, 0.1}};
            control.decide(table, {{serving, 0.4}}, filling, instant{milliseconds(10'000 + ms)});
        }
        CPPUNIT_ASSERT_EQUAL(0, filling[0].percent);
    }
    void a_successor_goes_on_from_the_record() {
        harm_table table;
        const image_number serving = table.number("serving");
        const image_number hard = table.number("hard");
        observe(table, serving, hard, 9, table.number("soft"), 400);
        harm_table next;
        next.number("another");
        next.restore(table.encode());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(table.harm(serving, hard),
                                     next.harm(next.number("serving"), next.number("hard")), 0.01);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(table.alone(serving), next.alone(next.number("serving")),
                                     0.01);
    }
    void bad_records_of_harms_are_passed_over() {
        harm_table table;
        const image_number serving = table.number("serving");
        const image_number hard = table.number("hard");
        observe(table, serving, hard, 9, table.number("soft"), 400);
        const std::string good = table.encode();
        for (int round = 0; round < 5000; ++round) {
            std::string bytes = good;
            bytes[random_() % bytes.size()] = static_cast<char>(random_());
            bytes.resize(random_() % (bytes.size() + 1));
            table.restore(bytes);
            const double harm = table.harm(serving, hard);
            CPPUNIT_ASSERT(harm >= 0 && harm <= 25);
        }
    }
    void many_images_share_the_last_number() {
        harm_table table;
        image_number last = 0;
        for (int index = 0; index < 500; ++index)
            last = table.number("image" + std::to_string(index));
        CPPUNIT_ASSERT_EQUAL(last, table.number("image499"));
        table.learn(last, 0.1, std::vector<image_share>{{last, 0.1}});
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sharing_test);

} // namespace
} // namespace figwinch
