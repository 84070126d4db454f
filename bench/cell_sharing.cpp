#include "bench/bench_report.h"
#include "simulation/sim_serving.h"

#include <array>
#include <string>

namespace {

using namespace figwinch;

constexpr double report_period_s = 0.4;
constexpr double learned_s = 60;
constexpr double measured_s = 300;
constexpr std::size_t workers = 20;
constexpr std::size_t serving_each = 4;
constexpr double filling_share = 0.125;
// What one filling task costs each of three serving images: like the pairs of the sites.
constexpr std::array<std::array<double, 3>, 3> true_slowdowns = {
    {{0.3, 4, 5}, {3, 0.3, 0.3}, {0.4, 2.5, 5.5}}};

enum class policy { no_filling, no_control, controlled };

struct outcome {
    std::uint64_t reports = 0;
    std::uint64_t over = 0;
    /// Of what filling tasks could have done at full speed.
    double filled = 0;
    double full = 0;
};

/// One worker with serving tasks of one image and a filling task of each.
class shared_worker {
public:
    shared_worker(slowdown_model& model, std::size_t image, std::mt19937_64& random)
        : model_(model), image_(image), random_(random) {
        std::uniform_real_distribution<double> phase(0, 1);
        for (std::size_t index = 0; index < serving_each; ++index)
            tasks_.emplace_back(phase(random));
        for (std::size_t filling = 0; filling < true_slowdowns.size(); ++filling)
            beside_.push_back({model.number_of("f" + std::to_string(filling)), filling_share, 100});
    }

    void step(double at_s, policy with, outcome* counted) {
        double slowdown = 0;
        std::vector<image_share> used;
        for (std::size_t filling = 0; filling < beside_.size(); ++filling) {
            const int percent = with == policy::no_filling ? 0 : beside_[filling].speed_percent;
            const double share = filling_share * percent / 100;
            slowdown += true_slowdowns[image_][filling] * share;
            used.push_back({beside_[filling].image, share});
        }
        const instant now{std::chrono::milliseconds(static_cast<int>(at_s * 1000) + 1)};
        const image_number number = model_.number_of("s" + std::to_string(image_));
        std::vector<serving_view> serving;
        for (sim_serving& task : tasks_) {
            const double tail = task.reported(at_s, slowdown, random_);
            model_.learn(number, tail, used, task.estimate, now);
            serving.push_back({number, tail, &task.estimate, &task.tail});
            if (counted != nullptr) {
                ++counted->reports;
                counted->over += task.tail_ratio(at_s, slowdown) > 1 ? 1 : 0;
            }
        }
        if (with == policy::controlled)
            control_.decide(model_, serving, beside_, now);
        if (counted == nullptr)
            return;
        for (const image_share& share : used) {
            counted->filled += share.share;
            counted->full += filling_share;
        }
    }

private:
    slowdown_model& model_;
    std::size_t image_;
    std::mt19937_64& random_;
    std::vector<sim_serving> tasks_;
    std::vector<best_effort_view> beside_;
    throttle_controller control_;
};

outcome play(policy with, std::uint64_t seed) {
    std::mt19937_64 random(seed);
    slowdown_model model;
    std::vector<shared_worker> all;
    for (std::size_t index = 0; index < workers; ++index)
        all.emplace_back(model, index % true_slowdowns.size(), random);
    outcome counted;
    for (double at_s = 0; at_s < learned_s + measured_s; at_s += report_period_s)
        for (shared_worker& worker : all)
            worker.step(at_s, with, at_s < learned_s ? nullptr : &counted);
    return counted;
}

/// Seconds of one worker's report with `tasks` serving tasks beside three filling ones.
double report_seconds(std::size_t tasks) {
    constexpr int reports = 20'000;
    slowdown_model model;
    const image_number serving = model.number_of("s");
    std::vector<best_effort_view> beside;
    std::vector<image_share> used;
    for (std::size_t filling = 0; filling < true_slowdowns.size(); ++filling) {
        beside.push_back({model.number_of("f" + std::to_string(filling)), filling_share, 100});
        used.push_back({beside.back().image, filling_share});
    }
    std::vector<load_estimate> loads(tasks);
    std::vector<tail_estimate> tails(tasks);
    throttle_controller control;
    const auto report_once = [&](int number) {
        const instant now{std::chrono::milliseconds(400 * number)};
        std::vector<serving_view> views;
        views.reserve(tasks);
        for (std::size_t index = 0; index < loads.size(); ++index) {
            model.learn(serving, 0.6, used, loads[index], now);
            views.push_back({serving, 0.6, &loads[index], &tails[index]});
        }
        control.decide(model, views, beside, now);
    };
    const double seconds = median_seconds(5, [&] {
        for (int number = 1; number <= reports; ++number)
            report_once(number);
    });
    return seconds / reports;
}

} // namespace

// Serving beside filling in five minutes of 20 simulated workers, on which one filling task of each
// image stands beside serving tasks wherever it hurts: the share of reports over target, and the
// share of full speed that filling tasks get, under control and under two baselines.
FIGWINCH_BENCH(cell_sharing) {
    constexpr std::array names = {"no_filling", "no_control", "controlled"};
    constexpr std::uint64_t seeds = 5;
    for (const policy with : {policy::no_filling, policy::no_control, policy::controlled}) {
        std::vector<double> over;
        std::vector<double> filled;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const outcome seen = play(with, seed);
            over.push_back(static_cast<double>(seen.over) / static_cast<double>(seen.reports));
            filled.push_back(seen.filled / seen.full);
        }
        const std::string name = names[static_cast<std::size_t>(with)];
        out.add(name + "_over", seeds, median(over) * 100, "%");
        out.add(name + "_filled", seeds, median(filled) * 100, "%");
    }
}

// What one worker's report costs, by its serving tasks.
FIGWINCH_BENCH(cell_sharing_report) {
    constexpr double us_per_s = 1e6;
    for (const std::size_t tasks : {2U, 4U, 8U, 16U})
        out.add("report", static_cast<std::int64_t>(tasks), report_seconds(tasks) * us_per_s, "us");
}
