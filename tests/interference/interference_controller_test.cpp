#include "figwinch/interference.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

namespace figwinch {
namespace {

const std::string host("host-1");
const service_id passes("reference-pass");
constexpr duration target = std::chrono::milliseconds(100);
constexpr duration second = std::chrono::seconds(1);

class interference_controller_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(interference_controller_test);
    CPPUNIT_TEST(the_heaviest_task_is_throttled_first);
    CPPUNIT_TEST(between_the_limits_nothing_changes);
    CPPUNIT_TEST(a_few_slow_requests_are_no_reason_to_act);
    CPPUNIT_TEST(stale_reports_after_a_throttle_do_not_throttle_again);
    CPPUNIT_TEST(a_lagging_list_does_not_undo_or_repeat_a_throttle);
    CPPUNIT_TEST(a_lost_command_is_given_again);
    CPPUNIT_TEST(eviction_comes_last_and_takes_a_checkpointable_task);
    CPPUNIT_TEST(a_service_slow_by_its_own_load_evicts_nobody);
    CPPUNIT_TEST(calm_lifts_the_throttle_step_by_step);
    CPPUNIT_TEST(a_host_whose_reports_stop_is_left_alone_at_first);
    CPPUNIT_TEST(a_host_taken_over_keeps_its_throttles_until_something_is_known);
    CPPUNIT_TEST(a_pair_that_hurts_only_under_load_is_remembered);
    CPPUNIT_TEST(shifting_load_does_not_make_it_oscillate);
    CPPUNIT_TEST_SUITE_END();

    // Reports below are stated against a limit at the target itself.
    std::unique_ptr<interference_controller> control_ =
        interference_controller::create({.act_above = 1});
    manual_clock clock_;
    std::vector<batch_neighbour> running_;

    void run(const std::string& name, int cores, bool checkpointable = false) {
        running_.push_back({.task = task_id(name),
                            .copied_from = template_id(name),
                            .used = {.cpu_millis = std::int64_t{1000} * cores},
                            .checkpointable = checkpointable});
    }
    void report(double ratio, std::int64_t samples = 100) {
        const auto p99 = std::chrono::duration_cast<duration>(target * ratio);
        control_->observe_latency(host, passes, p99, target, samples, clock_.now());
    }
    std::vector<interference_action> decide() {
        return control_->decide(host, running_, clock_.now());
    }
    /// What the worker does with the actions, in its list at once.
    void carry_out(const std::vector<interference_action>& actions) {
        for (const interference_action& action : actions) {
            if (action.step == interference_step::evict) {
                std::erase_if(running_, [&](const auto& task) { return task.task == action.task; });
                continue;
            }
            const auto task = std::ranges::find(running_, action.task, &batch_neighbour::task);
            task->used.cpu_millis = task->used.cpu_millis * action.percent / task->throttle_percent;
            task->throttle_percent = action.percent;
        }
    }
    /// One second: a report, a decision that is carried out. Returns the number of actions.
    std::size_t tick(double ratio) {
        clock_.advance(second);
        report(ratio);
        const std::vector<interference_action> actions = decide();
        carry_out(actions);
        return actions.size();
    }
    /// Seconds of service in which a render runs beside it half of the time and a mail task at
    /// other times; only the render slows it.
    void serve(int seconds, double alone, double hurt, std::int64_t requests) {
        for (int i = 0; i < seconds; ++i) {
            running_.clear();
            const bool beside_render = i / 40 % 2 == 0;
            if (beside_render)
                run("render", 4);
            if (i / 20 % 2 == 0)
                run("mail", 4);
            clock_.advance(second);
            report(beside_render ? hurt : alone, requests);
            decide();
        }
    }
    int throttle_of(const std::string& name) const {
        return std::ranges::find(running_, task_id(name), &batch_neighbour::task)->throttle_percent;
    }

    void the_heaviest_task_is_throttled_first() {
        run("light", 1);
        run("heavy", 8);
        report(1.02);
        const auto actions = decide();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, actions.size());
        CPPUNIT_ASSERT(actions[0].task == task_id("heavy"));
        CPPUNIT_ASSERT(actions[0].step == interference_step::throttle);
        CPPUNIT_ASSERT(actions[0].percent < 100);
    }

    void between_the_limits_nothing_changes() {
        run("render", 8);
        running_[0].throttle_percent = 50;
        for (int i = 0; i < 60; ++i)
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, tick(0.85));
    }

    void a_few_slow_requests_are_no_reason_to_act() {
        run("render", 8);
        report(5, 2);
        CPPUNIT_ASSERT(decide().empty());
    }

    // A render is throttled. The entry's reports of the seconds before still arrive and show the
    // old latency. A second throttle for the same cause would cost batch work for nothing.
    void stale_reports_after_a_throttle_do_not_throttle_again() {
        run("render", 8);
        report(1.1);
        carry_out(decide());
        for (int i = 0; i < 3; ++i) {
            clock_.advance(second / 2);
            report(1.1);
            CPPUNIT_ASSERT(decide().empty());
        }
        // The interval is over, but nothing has been heard of since: there is nothing to act on.
        clock_.advance(second);
        CPPUNIT_ASSERT(decide().empty());
    }

    // The worker's list lags: after a throttle it shows 100 percent for some seconds. Believing it
    // would send the same throttle again, or halve from the wrong level.
    void a_lagging_list_does_not_undo_or_repeat_a_throttle() {
        run("render", 8);
        report(1.1);
        const auto first = decide();
        clock_.advance(3 * second);
        report(1.1);
        const auto next = decide();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, next.size());
        CPPUNIT_ASSERT(next[0].percent < first[0].percent);
    }

    // The command to throttle was lost on its way. The list goes on showing 100 percent, and the
    // service stays slow until the command is given again.
    void a_lost_command_is_given_again() {
        run("render", 8);
        report(1.1);
        const auto lost = decide();
        clock_.advance(11 * second);
        report(1.1);
        const auto again = decide();
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, again.size());
        CPPUNIT_ASSERT_EQUAL(lost[0].percent, again[0].percent);
    }

    // Every batch task is at its floor and the service is still slow. One task goes, and it is one
    // that resumes from a checkpoint; while it is being stopped the list still shows it, and it
    // must not be evicted twice.
    void eviction_comes_last_and_takes_a_checkpointable_task() {
        run("plain", 8);
        run("resumable", 4, true);
        std::vector<interference_action> evictions;
        for (int i = 0; i < 60 && evictions.empty(); ++i) {
            clock_.advance(second);
            report(2);
            const auto actions = decide();
            std::ranges::copy_if(actions, std::back_inserter(evictions), [](const auto& action) {
                return action.step == interference_step::evict;
            });
            if (evictions.empty())
                carry_out(actions);
        }
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, evictions.size());
        CPPUNIT_ASSERT(evictions[0].task == task_id("resumable"));
        CPPUNIT_ASSERT(throttle_of("plain") < 50);
        clock_.advance(3 * second);
        report(2);
        for (const interference_action& action : decide())
            CPPUNIT_ASSERT(action.task != task_id("resumable"));
    }

    // The service is slow by its own load, beside a task that has never hurt it. Throttling that
    // task changes nothing and evicting it would only lose its work.
    void a_service_slow_by_its_own_load_evicts_nobody() {
        serve(1200, 0.5, 0.95, 100);
        running_.clear();
        run("mail", 4);
        for (int i = 0; i < 60; ++i)
            tick(2);
        CPPUNIT_ASSERT_EQUAL(std::size_t{1}, running_.size());
    }

    void calm_lifts_the_throttle_step_by_step() {
        run("render", 8);
        tick(1.1);
        const int throttled = throttle_of("render");
        CPPUNIT_ASSERT(throttled < 100);
        int last = throttled;
        for (int i = 0; i < 8; ++i)
            CPPUNIT_ASSERT_EQUAL(std::size_t{0}, tick(0.4));
        for (int i = 0; i < 300 && last < 100; ++i) {
            tick(0.4);
            CPPUNIT_ASSERT(throttle_of("render") >= last);
            last = throttle_of("render");
        }
        CPPUNIT_ASSERT_EQUAL(100, last);
    }

    // The entry that reports on a host dies. Nothing is known of the service for some seconds:
    // throttling more would be blind, and lifting would take silence for calm. When nobody reports
    // for long, nobody is served there, and batch work gets the host back.
    void a_host_whose_reports_stop_is_left_alone_at_first() {
        run("render", 8);
        tick(1.1);
        const int throttled = throttle_of("render");
        for (int i = 0; i < 29; ++i) {
            clock_.advance(second);
            CPPUNIT_ASSERT(decide().empty());
        }
        for (int i = 0; i < 120; ++i) {
            clock_.advance(second);
            carry_out(decide());
        }
        CPPUNIT_ASSERT(throttled < 100);
        CPPUNIT_ASSERT_EQUAL(100, throttle_of("render"));
    }

    // The scheduler that throttled a render dies and another takes the worker over. It has heard
    // no report yet; lifting the throttle at once would hurt the service a second time.
    void a_host_taken_over_keeps_its_throttles_until_something_is_known() {
        run("render", 8);
        running_[0].throttle_percent = 25;
        CPPUNIT_ASSERT(decide().empty());
        clock_.advance(10 * second);
        CPPUNIT_ASSERT(decide().empty());
        for (int i = 0; i < 60; ++i)
            tick(0.4);
        CPPUNIT_ASSERT_EQUAL(100, throttle_of("render"));
    }

    // A stem render slows reference passes, but only while many are asked for. If quiet hours made
    // the controller forget, every morning would begin with the same pair on one host again.
    void a_pair_that_hurts_only_under_load_is_remembered() {
        const auto penalty = [&](const char* name) {
            return control_->penalty(host, template_id(name), clock_.now());
        };
        serve(1200, 0.5, 0.95, 100);
        serve(3600, 0.3, 0.3, 10);
        CPPUNIT_ASSERT(penalty("render") > 1.5 * penalty("never-seen"));
        CPPUNIT_ASSERT(penalty("render") > 2 * penalty("mail"));
        CPPUNIT_ASSERT(penalty("render") <= 1);
        CPPUNIT_ASSERT_EQUAL(0.0,
                             control_->penalty("elsewhere", template_id("render"), clock_.now()));
    }

    // Load on the service goes up and down every forty seconds. A controller that lifts as soon as
    // it is calm throttles and lifts for ever: the service is slow at the start of each wave and
    // the render runs in jerks.
    void shifting_load_does_not_make_it_oscillate() {
        run("render", 8);
        const auto ratio_at = [](int at, int percent) {
            const double load = (at / 40) % 2 == 0 ? 0.4 : 0.85;
            return load * (1 + 0.6 * percent / 100);
        };
        int naive_changes = 0;
        int naive_percent = 100;
        std::size_t changes = 0;
        for (int at = 0; at < 1800; ++at) {
            const int wanted = ratio_at(at, naive_percent) > 1 ? 20 : 100;
            naive_changes += wanted != naive_percent ? 1 : 0;
            naive_percent = wanted;
            changes += tick(ratio_at(at, throttle_of("render")));
        }
        CPPUNIT_ASSERT(naive_changes > 100);
        CPPUNIT_ASSERT(changes * 20 < static_cast<std::size_t>(naive_changes));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(interference_controller_test);

} // namespace
} // namespace figwinch
