#include "cell/harm_table.h"

#include "cell.pb.h"

#include <algorithm>
#include <cmath>

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

std::string harm_table::encode() const {
    std::vector<const std::string*> images(rows_.size(), nullptr);
    for (const auto& [image, number] : numbers_)
        images[number] = &image;
    pb::HarmRecord record;
    for (const std::string* const image : images)
        record.add_images(*image);
    for (image_number serving = 0; serving < rows_.size(); ++serving) {
        const serving_row& row = rows_[serving];
        if (std::ranges::all_of(row.seen, [](int seen) { return seen == 0; }))
            continue;
        pb::ServingHarms& kept = *record.add_serving();
        kept.set_image(*images[serving]);
        kept.set_alone(row.alone);
        for (image_number filling = 0; filling < rows_.size(); ++filling) {
            kept.add_harms(static_cast<float>(row.harms[filling]));
            kept.add_seen(static_cast<std::uint32_t>(row.seen[filling]));
        }
    }
    return record.SerializeAsString();
}

void harm_table::restore(std::string_view bytes) {
    pb::HarmRecord record;
    if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return;
    for (const pb::ServingHarms& kept : record.serving()) {
        const image_number serving = number(kept.image());
        if (!std::isfinite(kept.alone()))
            continue;
        rows_[serving].alone = kept.alone();
        const int columns = std::min({record.images_size(), kept.harms_size(), kept.seen_size()});
        for (int column = 0; column < columns; ++column) {
            const image_number filling = number(record.images(column));
            if (!std::isfinite(kept.harms(column)))
                continue;
            serving_row& row = rows_[serving];
            row.harms[filling] = std::clamp<double>(kept.harms(column), 0, greatest_harm);
            row.seen[filling] = static_cast<int>(kept.seen(column));
        }
    }
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
