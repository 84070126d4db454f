#include "cell/harm_table.h"

#include <algorithm>

namespace figwinch {
namespace {

constexpr std::size_t most_images = 64;
// A pair that nothing is known of: four cores of sixteen raise the tail by half. Tried against 3:
// worth 0.47 to 0.52 and 0.67 to 0.72 on two days with trouble, since placement tries more pairs.
constexpr double unknown_harm = 1.5;
constexpr double greatest_harm = 25.0;
// A serving task alone at its mean load has a third of its target as tail.
constexpr double unknown_alone = -1.1;
// Steps of the regression shrink from the first measurement of a pair to a floor that still follows
// changes. At two measurements a second on each of some dozen workers a pair settles in seconds.
constexpr double first_step = 0.4;
constexpr double last_step = 0.015;
constexpr double step_decay = 0.25;
constexpr double alone_step = 0.05;
// Keeps tiny shares from being blamed for the swing of the serving task's own load.
constexpr double least_exposure = 0.01;
// Beyond four times the target the processors themselves are short: no property of the pair.
constexpr double greatest_log_ratio = 1.4;

} // namespace

image_number harm_table::number(const std::string& image) {
    const auto known = numbers_.find(image);
    if (known != numbers_.end())
        return known->second;
    const image_number next = std::min(numbers_.size(), most_images - 1);
    numbers_.emplace(image, next);
    if (rows_.size() <= next)
        rows_.resize(next + 1);
    rows_[next].alone = unknown_alone;
    rows_[next].harms.assign(most_images, unknown_harm);
    rows_[next].seen.assign(most_images, 0);
    return next;
}

double harm_table::harm(image_number serving, image_number filling) const {
    return rows_[serving].harms[filling];
}

double harm_table::alone(image_number serving) const {
    return rows_[serving].alone;
}

double harm_table::harm_of(image_number serving, std::span<const image_share> beside) const {
    double sum = 0;
    for (const image_share& other : beside)
        sum += harm(serving, other.image) * other.share;
    return sum;
}

void harm_table::learn(image_number serving, double log_ratio,
                       std::span<const image_share> beside) {
    serving_row& row = rows_[serving];
    const double seen = std::min(log_ratio, greatest_log_ratio);
    const double error = seen - row.alone - harm_of(serving, beside);
    double exposure = least_exposure;
    for (const image_share& other : beside)
        exposure += other.share * other.share;
    // All steps with one weight: an intercept with another pulls the harms away from what they are.
    row.alone += alone_step * error * least_exposure / exposure;
    for (const image_share& other : beside) {
        double& harm = row.harms[other.image];
        int& seen_before = row.seen[other.image];
        const double step = std::max(last_step, first_step / (1 + seen_before * step_decay));
        seen_before += step > last_step ? 1 : 0;
        harm = std::clamp(harm + step * error * other.share / exposure, 0.0, greatest_harm);
    }
}

} // namespace figwinch
