#include "cell/slowdown_model.h"
#include "cell/throttle_controller.h"
#include "simulation/sim_serving.h"

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>

#include <random>
#include <string>

namespace figwinch {
namespace {

constexpr double step_s = 0.05;
constexpr double report_period_s = 0.4;
/// The time from a decision until the worker applies it: the delivery of the order and the worker's
/// own delay.
constexpr double pace_delay_s = 0.15;
/// The standard deviation of the relative error of reported tail latencies.
constexpr double tail_noise = 0.12;
constexpr double simulated_s = 120;
constexpr double max_harm_s = 4;

/// A simulation of one worker with serving tasks, a changing set of best-effort tasks, and the
/// control that receives reports and throttles the best-effort tasks.
class shared_worker {
public:
    struct load {
        int neighbours;
        double shortest_s;
        double longest_s;
        /// New best-effort tasks wait until the control admits them.
        bool admitted_only;
    };

    /// Starts with `with.neighbours` best-effort tasks. Each is replaced by a new one when it ends.
    shared_worker(std::uint64_t seed, const load& with) : random_(seed), load_(with) {
        for (int index = 0; index < images; ++index) {
            serving_.push_back(model_.number_of("serving" + std::to_string(index)));
            best_effort_.push_back(model_.number_of("filling" + std::to_string(index)));
            for (int other = 0; other < images; ++other)
                truth_[index][other] = draw(0.2, 5.8);
        }
        const int count = 2 + static_cast<int>(random_() % 3);
        const image_number image = random_() % images;
        for (int index = 0; index < count; ++index)
            tasks_.push_back({image, sim_serving(draw(0, 1))});
        for (int index = 0; index < load_.neighbours; ++index)
            beside_.push_back(new_neighbour());
    }

    /// Simulates `seconds` and returns the longest continuous period for which best-effort tasks
    /// kept a serving task over its latency target.
    double longest_harm_s(double seconds) {
        for (double s = 0; s < seconds; s += step_s) {
            advance(s);
            if (s >= next_report_s_)
                report(s);
        }
        return longest_harm_s_;
    }

private:
    static constexpr int images = 3;
    struct neighbour {
        image_number image;
        double share;
        double left_s;
        int pace = 100;
        int next_pace = 100;
        double next_pace_at_s = 0;
    };
    struct served {
        image_number image;
        sim_serving queue;
        double harmed_s = 0;
    };

    static instant at(double s) {
        return instant{std::chrono::milliseconds(10'000 + static_cast<int>(s * 1000))};
    }
    double draw(double low, double high) {
        return std::uniform_real_distribution<double>(low, high)(random_);
    }
    neighbour new_neighbour() {
        return {random_() % images, draw(0.05, 0.2), draw(load_.shortest_s, load_.longest_s)};
    }
    double slowdown(const served& task) const {
        double sum = 0;
        for (const neighbour& other : beside_)
            if (other.left_s > 0)
                sum += truth_[task.image][other.image] * other.share * other.pace / 100;
        return sum;
    }
    void advance(double s) {
        for (neighbour& other : beside_) {
            if (s >= other.next_pace_at_s)
                other.pace = other.next_pace;
            other.left_s -= step_s * other.pace / 100;
            if (other.left_s <= 0 && (!load_.admitted_only || control_.admits_best_effort(at(s))))
                other = new_neighbour();
        }
        for (served& task : tasks_) {
            const bool harmed =
                task.queue.tail_ratio(s, slowdown(task)) > 1 && task.queue.tail_ratio(s, 0) <= 1;
            task.harmed_s = harmed ? task.harmed_s + step_s : 0;
            longest_harm_s_ = std::max(longest_harm_s_, task.harmed_s);
        }
    }
    void report(double s) {
        next_report_s_ = s + report_period_s;
        const instant now = at(s);
        std::vector<image_share> used;
        for (const neighbour& other : beside_)
            if (other.left_s > 0)
                used.push_back({best_effort_[other.image], other.share * other.pace / 100});
        std::normal_distribution<double> rough(0, tail_noise);
        std::vector<serving_view> serving;
        for (served& task : tasks_) {
            const double tail = task.queue.tail_ratio(s, slowdown(task)) * std::exp(rough(random_));
            model_.learn(serving_[task.image], tail, used, task.queue.estimate, now);
            serving.push_back({serving_[task.image], tail, &task.queue.estimate, &task.queue.tail});
        }
        std::vector<best_effort_view> best_effort;
        std::vector<neighbour*> working;
        for (neighbour& other : beside_) {
            if (other.left_s <= 0)
                continue;
            working.push_back(&other);
            best_effort.push_back({best_effort_[other.image], other.share});
        }
        control_.decide(model_, serving, best_effort, now);
        for (std::size_t index = 0; index < best_effort.size(); ++index) {
            working[index]->next_pace = best_effort[index].speed_percent;
            working[index]->next_pace_at_s = s + pace_delay_s;
        }
    }

    std::mt19937_64 random_;
    load load_;
    double longest_harm_s_ = 0;
    double next_report_s_ = 0;
    double truth_[images][images] = {};
    slowdown_model model_;
    throttle_controller control_;
    std::vector<image_number> serving_;
    std::vector<image_number> best_effort_;
    std::vector<served> tasks_;
    std::vector<neighbour> beside_;
};

/// Tests the service-level objective: best-effort tasks must not keep a serving task over its
/// latency target for 4 consecutive seconds.
class sharing_harm_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(sharing_harm_test);
    CPPUNIT_TEST(no_task_stays_over_its_target_for_seconds);
    CPPUNIT_TEST(short_tasks_that_follow_each_other_harm_none);
    CPPUNIT_TEST_SUITE_END();

    static void run_seeds(const shared_worker::load& with) {
        constexpr std::uint64_t seeds = 2000;
        std::vector<std::uint64_t> violations;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            shared_worker worker(seed, with);
            if (worker.longest_harm_s(simulated_s) >= max_harm_s)
                violations.push_back(seed);
        }
        const std::string first = violations.empty() ? "" : std::to_string(violations.front());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("first seed " + first, std::size_t{0}, violations.size());
    }

public:
    /// Guards against noisy reports that delay the pause of best-effort tasks. Tail latencies are
    /// steered to the target and reported with an error of an eighth, so a single report below the
    /// target would restart the count of seconds over it. With exact reports none of 20,000
    /// simulated workers violates the objective; with noisy ones and such a count 27 did.
    void no_task_stays_over_its_target_for_seconds() { run_seeds({3, 2, 20, false}); }
    /// Guards against best-effort tasks that are started next to a serving task which is over its
    /// latency target: a new task runs at full speed until the next report.
    void short_tasks_that_follow_each_other_harm_none() { run_seeds({5, 0.8, 4, true}); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(sharing_harm_test);

} // namespace
} // namespace figwinch
