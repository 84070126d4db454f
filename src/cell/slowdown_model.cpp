#include "cell/slowdown_model.h"

#include "cell.pb.h"
#include "figwinch/cell/record_codec.h"

#include <algorithm>
#include <cmath>

namespace figwinch {
namespace {

constexpr std::size_t max_images = 64;
// Prior slowdown of pairs and images without observations: an eighth of a worker's CPU raises the
// utilisation of the serving task by about a tenth. High enough that such pairs are tried one at a
// time, and low enough that they are tried at all.
constexpr double prior_slowdown = 1.0;
constexpr double prior_slowdown_variance = 4.0;
constexpr double max_slowdown = 12.0;
// Differences above this slowdown don't matter, because placement avoids such a neighbour anyway.
constexpr double max_compared_slowdown = 3.0;
// Lower bound for the variance of a pair, so that the filter can follow later changes.
constexpr double min_slowdown_variance = 0.04;
// Errors of consecutive reports are correlated, because they are caused by the task's own load,
// which varies slowly. Each report therefore carries less information about a pair than an
// independent observation would, and reduces its variance by this part only.
constexpr double information_per_report = 0.3;
// Prior for the mean load: services are usually sized for a utilisation of a little under one half.
constexpr double prior_mean_log_load = -0.87;
constexpr double prior_mean_variance = 0.01;
constexpr double min_mean_variance = 1e-5;
// The own load of a service varies by half of its mean with a period of about 15 s. The variance of
// its logarithm, and the time constant with which a deviation from the mean decays.
constexpr double load_variance = 0.1225;
constexpr double load_time_constant_s = 6.0;
// The relative error of reported tail latencies is about an eighth. In addition, a report covers
// half a second, within which the mix of neighbours changes.
constexpr double tail_noise = 0.12;
constexpr double mix_variance = 0.0049;
// The unloaded tail latency is derived from a low quantile of the observed ones: at the low point
// of its load a service is still about a fifth busy, so the unloaded tail is this part of the
// quantile.
constexpr double low_quantile = 0.05;
constexpr double unloaded_to_low_ratio = 0.78;
constexpr double prior_low_log_ratio = -1.35;
constexpr double first_quantile_step = 0.2;
constexpr double last_quantile_step = 0.002;
constexpr double quantile_step_decay = 0.02;
// The range in which the utilisation can be derived from the tail latency.
constexpr double min_utilisation = 0.08;
constexpr double max_utilisation = 0.985;

double seconds(duration span) {
    return std::chrono::duration<double>(span).count();
}

double utilisation(double unloaded_ratio, double tail_ratio) {
    return std::clamp(1 - unloaded_ratio / tail_ratio, min_utilisation, max_utilisation);
}

double unloaded_ratio(double low_log_ratio) {
    return std::exp(low_log_ratio) * unloaded_to_low_ratio;
}

/// Lets a load estimate decay towards the image's mean for the time since the last report.
void decay_to_mean(load_estimate& own, instant now) {
    if (own.reported_at == instant{}) {
        own.variance = load_variance;
    } else {
        const double kept = std::exp(-seconds(now - own.reported_at) / load_time_constant_s);
        own.deviation *= kept;
        own.variance = own.variance * kept * kept + load_variance * (1 - kept * kept);
    }
    own.reported_at = now;
}

} // namespace

image_number slowdown_model::number_of(const std::string& image) {
    const auto known = numbers_.find(image);
    if (known != numbers_.end())
        return known->second;
    const image_number next = std::min(numbers_.size(), max_images - 1);
    numbers_.emplace(image, next);
    if (rows_.size() > next)
        return next;
    serving_row& row = rows_.emplace_back();
    row.mean_log_load = prior_mean_log_load;
    row.mean_variance = prior_mean_variance;
    row.low_log_ratio = prior_low_log_ratio;
    row.pairs.assign(max_images, {prior_slowdown, prior_slowdown_variance, false});
    columns_.resize(max_images);
    return next;
}

void slowdown_model::learn(image_number serving, double tail_ratio,
                           std::span<const image_share> neighbours, load_estimate& own,
                           instant now) {
    serving_row& row = rows_[serving];
    update_low_quantile(row, tail_ratio);
    decay_to_mean(own, now);
    const double seen = utilisation(unloaded_ratio(row.low_log_ratio), tail_ratio);
    const double error =
        std::log(seen) - row.mean_log_load - own.deviation - total_slowdown(serving, neighbours);
    const double rough = tail_noise * (1 - seen) / seen;
    double total = own.variance + row.mean_variance + rough * rough + mix_variance;
    for (const image_share& other : neighbours)
        total += row.pairs[other.image].variance * other.share * other.share;
    const double own_gain = own.variance / total;
    own.deviation += own_gain * error;
    own.variance *= 1 - own_gain;
    const double mean_gain = row.mean_variance / total;
    row.mean_log_load += mean_gain * error;
    row.mean_variance = std::max(row.mean_variance * (1 - mean_gain), min_mean_variance);
    for (const image_share& other : neighbours)
        update_pair(row, other, error, total);
}

void slowdown_model::update_low_quantile(serving_row& row, double tail_ratio) {
    const double step =
        std::max(last_quantile_step, first_quantile_step / (1 + row.reports * quantile_step_decay));
    ++row.reports;
    const bool above = std::log(tail_ratio) > row.low_log_ratio;
    row.low_log_ratio += step * (above ? low_quantile : low_quantile - 1);
}

void slowdown_model::update_pair(serving_row& row, const image_share& neighbour, double error,
                                 double total) {
    pair_estimate& pair = row.pairs[neighbour.image];
    if (neighbour.share <= 0)
        return;
    const double gain = pair.variance * neighbour.share / total;
    const double before = expected_slowdown(pair, neighbour.image);
    pair.variance = std::max(pair.variance * (1 - information_per_report * gain * neighbour.share),
                             min_slowdown_variance);
    set_pair(pair, neighbour.image, std::clamp(before + gain * error, 0.0, max_slowdown));
}

void slowdown_model::set_pair(pair_estimate& pair, image_number best_effort, double slowdown) {
    best_effort_column& column = columns_[best_effort];
    if (pair.known)
        column.sum -= pair.slowdown;
    else
        ++column.known;
    pair.known = true;
    pair.slowdown = slowdown;
    column.sum += slowdown;
}

double slowdown_model::expected_slowdown(const pair_estimate& pair,
                                         image_number best_effort) const {
    const best_effort_column& column = columns_[best_effort];
    if (pair.known || column.known == 0)
        return pair.slowdown;
    // The prior is averaged in as one more sample, so that a single observed pair doesn't determine
    // the expectation for all others.
    return (column.sum + prior_slowdown) / (column.known + 1);
}

double slowdown_model::slowdown(image_number serving, image_number best_effort) const {
    return expected_slowdown(rows_[serving].pairs[best_effort], best_effort);
}

double slowdown_model::total_slowdown(image_number serving,
                                      std::span<const image_share> neighbours) const {
    double sum = 0;
    for (const image_share& other : neighbours)
        sum += slowdown(serving, other.image) * other.share;
    return sum;
}

double slowdown_model::headroom(image_number serving, const load_estimate& own, double aim) const {
    return typical_headroom(serving, own.deviation, aim);
}

double slowdown_model::typical_headroom(image_number serving, double above_mean, double aim) const {
    const serving_row& row = rows_[serving];
    const double allowed = utilisation(unloaded_ratio(row.low_log_ratio), aim);
    return std::log(allowed) - row.mean_log_load - above_mean;
}

double slowdown_model::sensitivity_difference(image_number one, image_number other) const {
    if (one == other)
        return 0;
    double sum = 0;
    int compared = 0;
    for (image_number best_effort = 0; best_effort < columns_.size(); ++best_effort) {
        const pair_estimate& first = rows_[one].pairs[best_effort];
        const pair_estimate& second = rows_[other].pairs[best_effort];
        if (columns_[best_effort].known == 0)
            continue;
        ++compared;
        // Unless both pairs have been observed, assume the maximum difference.
        sum += first.known && second.known
                   ? std::abs(std::min(first.slowdown, max_compared_slowdown) -
                              std::min(second.slowdown, max_compared_slowdown))
                   : max_compared_slowdown;
    }
    return compared == 0 ? 1 : sum / (compared * max_compared_slowdown);
}

std::string slowdown_model::encode() const {
    std::vector<const std::string*> images(rows_.size(), nullptr);
    for (const auto& [image, number] : numbers_)
        images[number] = &image;
    pb::SlowdownRecord record;
    for (const std::string* const image : images)
        record.add_images(*image);
    for (image_number serving = 0; serving < rows_.size(); ++serving) {
        const serving_row& row = rows_[serving];
        if (row.reports == 0)
            continue;
        pb::ServingSlowdowns& kept = *record.add_serving();
        kept.set_image(*images[serving]);
        kept.set_mean_log_load(static_cast<float>(row.mean_log_load));
        kept.set_low_log_ratio(static_cast<float>(row.low_log_ratio));
        kept.set_reports(row.reports);
        for (image_number best_effort = 0; best_effort < rows_.size(); ++best_effort) {
            const pair_estimate& pair = row.pairs[best_effort];
            kept.add_slowdowns(pair.known ? static_cast<float>(pair.slowdown) : -1.0F);
            kept.add_variances(static_cast<float>(pair.variance));
        }
    }
    record.set_format(record_format_version);
    return record.SerializeAsString();
}

void slowdown_model::restore(std::string_view bytes) {
    pb::SlowdownRecord record;
    if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return;
    for (const pb::ServingSlowdowns& kept : record.serving()) {
        if (!std::isfinite(kept.mean_log_load()) || !std::isfinite(kept.low_log_ratio()))
            continue;
        const image_number serving = number_of(kept.image());
        rows_[serving].mean_log_load = std::clamp<double>(kept.mean_log_load(), -3, 0);
        rows_[serving].low_log_ratio = std::clamp<double>(kept.low_log_ratio(), -6, 0);
        rows_[serving].reports = kept.reports();
        const int columns =
            std::min({record.images_size(), kept.slowdowns_size(), kept.variances_size()});
        for (int column = 0; column < columns; ++column) {
            const double slowdown = kept.slowdowns(column);
            const double variance = kept.variances(column);
            if (!std::isfinite(slowdown) || !std::isfinite(variance) || slowdown < 0)
                continue;
            const image_number best_effort = number_of(record.images(column));
            pair_estimate& pair = rows_[serving].pairs[best_effort];
            pair.variance = std::clamp(variance, min_slowdown_variance, prior_slowdown_variance);
            set_pair(pair, best_effort, std::min(slowdown, max_slowdown));
        }
    }
}

} // namespace figwinch
