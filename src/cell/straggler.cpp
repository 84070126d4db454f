#include "cell/straggler.h"

#include <algorithm>

namespace figwinch {
namespace {

constexpr int whole = 100;
// Reports are up to a second apart; one may be lost.
constexpr duration least_unchanged = std::chrono::milliseconds(2200);
// Of a percent's usual time; a slow worker takes up to 8 times as long, one that hangs for ever.
constexpr int percents_still = 12;
// Without any progress nothing but the guess tells, which may be ten times too low.
constexpr int estimate_part = 4;
// From there on a run tells how long it will take.
constexpr int telling_percent = 30;
constexpr std::size_t least_samples = 3;
// Durations of one step's tasks differ by a third; beyond this factor it is the worker.
constexpr double clear_factor = 1.8;
// By how much sooner it has to be done elsewhere.
constexpr double clear_gain = 1.3;
// Stopping, starting and the way of both.
constexpr duration moving = std::chrono::milliseconds(600);
// What a run that saves its progress may lose.
constexpr duration unsaved = std::chrono::seconds(1);

duration scaled(duration span, double factor) {
    return std::chrono::duration_cast<duration>(span * factor);
}

/// What a whole run takes at the rate so far.
duration whole_time(const run_progress& run) {
    return run.worked * whole / std::max(run.percent, 1);
}

} // namespace

bool stands_still(const run_progress& run) {
    if (run.unchanged < least_unchanged || run.percent >= whole)
        return false;
    if (run.percent == 0)
        return run.unchanged > run.estimate / estimate_part;
    return run.unchanged > (run.worked - run.unchanged) / run.percent * percents_still;
}

std::optional<duration> usual_time(std::vector<duration> ended,
                                   const std::vector<run_progress>& running) {
    for (const run_progress& run : running)
        if (run.percent >= telling_percent)
            ended.push_back(whole_time(run));
    if (ended.size() < least_samples)
        return std::nullopt;
    const auto middle = ended.begin() + static_cast<std::ptrdiff_t>(ended.size() / 2);
    std::ranges::nth_element(ended, middle);
    return *middle;
}

bool is_straggler(const run_progress& run, duration usual, bool saves) {
    if (run.percent >= whole || run.worked < scaled(usual, clear_factor))
        return false;
    const duration left_here = whole_time(run) * (whole - run.percent) / whole;
    const duration saved = saves ? usual * run.percent / whole - unsaved : duration::zero();
    const duration left_elsewhere = usual - std::max(saved, duration::zero()) + moving;
    return left_here > scaled(left_elsewhere, clear_gain);
}

} // namespace figwinch
