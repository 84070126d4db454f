#include "figwinch/routing.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cstdint>
#include <iostream>
#include <queue>
#include <random>
#include <vector>

namespace figwinch {
namespace {

using namespace std::chrono_literals;

class admission_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(admission_test);
    CPPUNIT_TEST(a_flood_moves_a_rivals_p99_by_less_than_a_tenth);
    CPPUNIT_TEST(a_deadline_that_cannot_be_made_is_refused_at_once);
    CPPUNIT_TEST(the_lowest_class_is_shed_first);
    CPPUNIT_TEST(a_flood_cannot_push_out_its_rivals);
    CPPUNIT_TEST(what_cannot_be_made_any_more_is_given_up_early);
    CPPUNIT_TEST_SUITE_END();

    const service_id service_{"mastering"};
    const service_pace pace_{8, 20ms};
    const instant start_{1h};
    std::uint64_t next_number_ = 1;

    waiting_request request(const char* customer, work_class urgency = work_class::normal,
                            duration left = 5s, instant now = instant{1h}) {
        return {next_number_++, customer_id(customer), service_, urgency, 1, now, now + left};
    }
    static bool any_slot(const service_id&) { return true; }

    /// p99 from arrival to answer of customer "calm", which sends 800 a second, on the 64 slots of
    /// one entry's executors. Work takes 10 to 30 ms, so that they serve 3,200 a second.
    duration calm_p99(int rival_rate, std::uint64_t seed) {
        constexpr int slots = 64;
        std::mt19937_64 random(seed);
        std::exponential_distribution<double> calm_gap(800);
        std::exponential_distribution<double> rival_gap(rival_rate);
        std::uniform_int_distribution<duration::rep> work(10'000, 30'000);
        const auto gap = [&random](std::exponential_distribution<double>& of) {
            return duration(static_cast<duration::rep>(of(random) * 1e6));
        };
        admission queue(admission::settings{500});
        instant next_calm = start_ + gap(calm_gap);
        instant next_rival = start_ + gap(rival_gap);
        std::priority_queue<instant, std::vector<instant>, std::greater<>> free_at;
        for (int i = 0; i < slots; ++i)
            free_at.push(start_);
        std::vector<duration> totals;
        const auto serve_until = [&](instant now) {
            while (queue.waiting() > 0 && free_at.top() <= now) {
                const auto next = queue.take(any_slot);
                const instant done = std::max(free_at.top(), next->since) + duration(work(random));
                free_at.pop();
                free_at.push(done);
                if (next->customer == customer_id("calm"))
                    totals.push_back(done - next->since);
            }
        };
        const instant end = start_ + 20s;
        while (next_calm < end) {
            const bool is_calm = next_calm <= next_rival;
            const instant now = is_calm ? next_calm : next_rival;
            serve_until(now);
            queue.offer(request(is_calm ? "calm" : "rival", work_class::normal, 1s, now),
                        {slots, 20ms}, now);
            serve_until(now);
            (is_calm ? next_calm : next_rival) = now + gap(is_calm ? calm_gap : rival_gap);
        }
        std::ranges::sort(totals);
        return totals[totals.size() * 99 / 100];
    }

    // One studio sends ten times its half of the machines (16,000 a second instead of 1,600). A
    // rival's reference passes would wait behind its queue.
    void a_flood_moves_a_rivals_p99_by_less_than_a_tenth() {
        for (const std::uint64_t seed : {11U, 12U, 13U, 14U, 15U}) {
            const duration before = calm_p99(1600, seed);
            const duration during = calm_p99(16'000, seed);
            std::cout << " seed " << seed << ": " << before.count() << " us, " << during.count()
                      << " us";
            CPPUNIT_ASSERT(double(during.count()) < 1.1 * double(before.count()));
        }
    }

    void a_deadline_that_cannot_be_made_is_refused_at_once() {
        admission queue{admission::settings{}};
        for (int i = 0; i < 40; ++i)
            queue.offer(request("studio-a"), pace_, start_);
        // 40 ahead on 8 slots of 20 ms: 100 ms, and 20 ms of its own.
        const auto hopeless =
            queue.offer(request("studio-a", work_class::normal, 119ms), pace_, start_);
        CPPUNIT_ASSERT(hopeless.code == result_code::deadline_unreachable);
        CPPUNIT_ASSERT(hopeless.predicted_wait == 100ms);
        const auto fits =
            queue.offer(request("studio-a", work_class::normal, 120ms), pace_, start_);
        CPPUNIT_ASSERT(fits.code == result_code::ok);
        // A rival with nothing queued has one request of the other ahead, an urgent one none.
        const auto rival =
            queue.offer(request("studio-b", work_class::normal, 30ms), pace_, start_);
        CPPUNIT_ASSERT(rival.code == result_code::ok);
    }

    void the_lowest_class_is_shed_first() {
        admission queue(admission::settings{2});
        const auto bulk = request("studio-a", work_class::bulk);
        queue.offer(bulk, pace_, start_);
        queue.offer(request("studio-a", work_class::normal), pace_, start_);
        const auto urgent = queue.offer(request("studio-a", work_class::urgent), pace_, start_);
        CPPUNIT_ASSERT(urgent.code == result_code::ok);
        CPPUNIT_ASSERT(urgent.shed.has_value() && urgent.shed->number == bulk.number);
        const auto more_bulk = queue.offer(request("studio-b", work_class::bulk), pace_, start_);
        CPPUNIT_ASSERT(more_bulk.code == result_code::queue_full);
        CPPUNIT_ASSERT(queue.take(any_slot)->request_class == work_class::urgent);
    }

    void a_flood_cannot_push_out_its_rivals() {
        admission queue(admission::settings{10});
        for (int i = 0; i < 10; ++i)
            queue.offer(request("flood"), pace_, start_);
        const auto rival = queue.offer(request("studio-b"), pace_, start_);
        CPPUNIT_ASSERT(rival.code == result_code::ok);
        CPPUNIT_ASSERT(rival.shed->code == result_code::customer_over_share);
        const auto flood = queue.offer(request("flood"), pace_, start_);
        CPPUNIT_ASSERT(flood.code == result_code::customer_over_share);
        CPPUNIT_ASSERT(!flood.shed.has_value());
    }

    void what_cannot_be_made_any_more_is_given_up_early() {
        admission queue{admission::settings{}};
        const auto soon = request("studio-a", work_class::normal, 100ms);
        queue.offer(soon, pace_, start_);
        queue.offer(request("studio-a"), pace_, start_);
        const auto work = [](const service_id&) { return duration(20ms); };
        CPPUNIT_ASSERT(queue.give_up(work, 20ms, start_ + 80ms).empty());
        const auto late = queue.give_up(work, 20ms, start_ + 81ms);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, late.size());
        CPPUNIT_ASSERT_EQUAL(soon.number, late.front().number);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, queue.waiting());
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(admission_test);

} // namespace
} // namespace figwinch
