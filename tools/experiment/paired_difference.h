#pragma once

#include <cstddef>
#include <span>

namespace figwinch::experiment {

/// How two setups differ on the same seeds: second less first.
struct paired_difference {
    std::size_t pairs = 0;
    double mean = 0;
    double median = 0;
    /// Standard deviation of the differences; 0 of one pair.
    double spread = 0;
    /// Of the mean.
    double standard_error = 0;
    double least = 0;
    double most = 0;
};

/// Both of the same length, one value a seed; not empty.
paired_difference compare_pairs(std::span<const double> first, std::span<const double> second);

} // namespace figwinch::experiment
