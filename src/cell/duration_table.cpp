#include "cell/duration_table.h"

#include "cell.pb.h"

#include <algorithm>
#include <cmath>

namespace figwinch {
namespace {

constexpr std::uint32_t least_tasks = 5;
constexpr double least_gain = 0.01;
constexpr double least_variance = 0.01;
constexpr std::size_t most_rows = 1000;
// Logarithms of microseconds within which times lie: up to 11 days.
constexpr double longest_log = 27.6;

double log_of(duration span) {
    return std::log(std::max(1.0, static_cast<double>(span.count())));
}

} // namespace

void duration_table::moments::add(double value, double gain) {
    mean += gain * (value - mean);
    square += gain * (value * value - square);
}

double duration_table::moments::variance() const {
    return std::max(least_variance, square - mean * mean);
}

std::string duration_table::key_of(const queue_name& queue, const step_spec& step) {
    return queue.str() + '\n' + step.image;
}

void duration_table::learn(const queue_name& queue, const step_spec& step, duration whole) {
    const std::string key = key_of(queue, step);
    if (rows_.size() >= most_rows && !rows_.contains(key))
        return;
    row& learned = rows_[key];
    ++learned.tasks;
    const double gain = std::max(least_gain, 1.0 / learned.tasks);
    learned.off.add(log_of(whole) - log_of(step.estimate), gain);
    learned.usual.add(log_of(whole), gain);
}

duration duration_table::expected(const queue_name& queue, const step_spec& step) const {
    const auto known = rows_.find(key_of(queue, step));
    if (known == rows_.end() || known->second.tasks < least_tasks)
        return step.estimate;
    const row& learned = known->second;
    const double by_guess = 1 / learned.off.variance();
    const double by_usual = 1 / learned.usual.variance();
    const double guessed = log_of(step.estimate) + learned.off.mean;
    const double sum = guessed * by_guess + learned.usual.mean * by_usual;
    const double log_time = std::min(sum / (by_guess + by_usual), longest_log);
    return duration(static_cast<std::int64_t>(std::exp(log_time)));
}

std::string duration_table::encode() const {
    pb::DurationsRecord record;
    for (const auto& [key, learned] : rows_) {
        pb::DurationRow& kept = *record.add_rows();
        kept.set_key(key);
        kept.set_tasks(learned.tasks);
        kept.set_off_mean(learned.off.mean);
        kept.set_off_square(learned.off.square);
        kept.set_usual_mean(learned.usual.mean);
        kept.set_usual_square(learned.usual.square);
    }
    return record.SerializeAsString();
}

void duration_table::restore(std::string_view bytes) {
    pb::DurationsRecord record;
    if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
        return;
    for (const pb::DurationRow& kept : record.rows()) {
        const row read{kept.tasks(),
                       {kept.off_mean(), kept.off_square()},
                       {kept.usual_mean(), kept.usual_square()}};
        const bool sound = std::abs(read.off.mean) <= longest_log &&
                           std::abs(read.usual.mean) <= longest_log &&
                           std::isfinite(read.off.square) && std::isfinite(read.usual.square);
        if (sound && rows_.size() < most_rows)
            rows_[kept.key()] = read;
    }
}

} // namespace figwinch
