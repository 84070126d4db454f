#include "cell/duration_table.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <random>

namespace figwinch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// The pattern: submitters whose guesses of run times are off by factors.
class duration_table_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(duration_table_test);
    CPPUNIT_TEST(guesses_stand_until_tasks_have_ended);
    CPPUNIT_TEST(guesses_that_are_all_off_alike_are_corrected);
    CPPUNIT_TEST(the_usual_time_counts_where_guesses_say_nothing);
    CPPUNIT_TEST(queues_and_images_are_told_apart);
    CPPUNIT_TEST(a_successor_goes_on_from_the_record);
    CPPUNIT_TEST(bad_records_are_passed_over);
    CPPUNIT_TEST_SUITE_END();

    duration_table table_;
    queue_name queue_{"q"};

    static step_spec step(duration guess, const std::string& image = "") {
        step_spec spec;
        spec.estimate = guess;
        spec.image = image;
        return spec;
    }
    double expected_s(duration guess, const std::string& image = "") const {
        return std::chrono::duration<double>(table_.expected(queue_, step(guess, image))).count();
    }

public:
    void guesses_stand_until_tasks_have_ended() {
        table_.learn(queue_, step(seconds(1)), seconds(9));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, expected_s(seconds(1)), 1e-6);
    }
    void guesses_that_are_all_off_alike_are_corrected() {
        for (int index = 1; index <= 40; ++index)
            table_.learn(queue_, step(milliseconds(100 * index)), milliseconds(300 * index));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3, expected_s(seconds(1)), 0.5);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(9, expected_s(seconds(3)), 1.5);
    }
    void the_usual_time_counts_where_guesses_say_nothing() {
        std::mt19937_64 random(1);
        std::uniform_real_distribution<double> log_off(-2, 2);
        for (int index = 0; index < 200; ++index) {
            const auto guess_ms = static_cast<int>(2000 * std::exp(log_off(random)));
            table_.learn(queue_, step(milliseconds(guess_ms)), seconds(2));
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2, expected_s(milliseconds(300)), 0.2);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2, expected_s(seconds(12)), 0.2);
    }
    void queues_and_images_are_told_apart() {
        for (int index = 0; index < 10; ++index) {
            table_.learn(queue_, step(seconds(1), "short"), milliseconds(500));
            table_.learn(queue_, step(seconds(1), "long"), seconds(5));
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, expected_s(seconds(1), "short"), 0.05);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5, expected_s(seconds(1), "long"), 0.5);
        CPPUNIT_ASSERT(table_.expected(queue_name("other"), step(seconds(1), "long")) ==
                       seconds(1));
    }
    void a_successor_goes_on_from_the_record() {
        for (int index = 0; index < 10; ++index)
            table_.learn(queue_, step(seconds(1)), seconds(4));
        duration_table successor;
        successor.restore(table_.encode());
        CPPUNIT_ASSERT(successor.expected(queue_, step(seconds(1))) ==
                       table_.expected(queue_, step(seconds(1))));
        CPPUNIT_ASSERT_EQUAL(table_.encode(), successor.encode());
    }
    /// Guards against a record of another version that makes every expected time absurd.
    void bad_records_are_passed_over() {
        for (int index = 0; index < 10; ++index)
            table_.learn(queue_, step(seconds(1)), seconds(4));
        const std::string good = table_.encode();
        std::mt19937_64 random(7);
        for (int round = 0; round < 2000; ++round) {
            std::string bad = good;
            for (int flips = 0; flips < 4; ++flips)
                bad[random() % bad.size()] = static_cast<char>(random());
            duration_table reader;
            reader.restore(bad);
            const duration expected = reader.expected(queue_, step(seconds(1)));
            CPPUNIT_ASSERT(expected >= duration::zero());
            CPPUNIT_ASSERT(expected <= std::chrono::hours(24 * 365));
        }
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(duration_table_test);

} // namespace
} // namespace figwinch
