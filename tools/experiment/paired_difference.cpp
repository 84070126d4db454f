#include "tools/experiment/paired_difference.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>
#include <vector>

namespace figwinch::experiment {
namespace {

double median_of(const std::vector<double>& sorted) {
    const std::size_t middle = sorted.size() / 2;
    return sorted.size() % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
}

double deviation_of(const std::vector<double>& values, double mean) {
    if (values.size() < 2)
        return 0;
    double squares = 0;
    for (const double value : values)
        squares += (value - mean) * (value - mean);
    return std::sqrt(squares / static_cast<double>(values.size() - 1));
}

} // namespace

paired_difference compare_pairs(std::span<const double> first, std::span<const double> second) {
    assert(!first.empty() && first.size() == second.size());
    std::vector<double> differences(first.size());
    std::ranges::transform(second, first, differences.begin(), std::minus<>());
    std::ranges::sort(differences);
    const auto pairs = static_cast<double>(differences.size());
    paired_difference result;
    result.pairs = differences.size();
    result.mean = std::accumulate(differences.begin(), differences.end(), 0.0) / pairs;
    result.median = median_of(differences);
    result.spread = deviation_of(differences, result.mean);
    result.standard_error = result.spread / std::sqrt(pairs);
    result.least = differences.front();
    result.most = differences.back();
    return result;
}

} // namespace figwinch::experiment
