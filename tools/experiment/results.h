#pragma once

#include "tools/experiment/comparison.h"
#include "tools/experiment/day_result.h"

#include <ostream>
#include <vector>

namespace figwinch::experiment {

/// All that one call of the program found.
struct results {
    /// By setup, then by seed.
    std::vector<std::vector<day_result>> days;
    /// Empty without a variant.
    std::vector<comparison> compared;
};

/// Means over the seeds for people, then what differs; equal figures are left out.
void print_results(std::ostream& out, const results& found);
/// A line for each setup, seed and class.
void write_days_csv(std::ostream& out, const results& found);
/// A line for each class and metric that was compared.
void write_pairs_csv(std::ostream& out, const results& found);
void write_json(std::ostream& out, const results& found);

} // namespace figwinch::experiment
