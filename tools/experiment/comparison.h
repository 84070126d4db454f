#pragma once

#include "tools/experiment/day_result.h"
#include "tools/experiment/metric.h"
#include "tools/experiment/paired_difference.h"

#include <string>
#include <vector>

namespace figwinch::experiment {

/// One metric of one class under two setups.
struct comparison {
    std::string of_class;
    std::string_view metric;
    paired_difference difference;
};

/// Every metric of every class that has a value on all days; both lists have the same seeds in the
/// same order, and days of loads with the same classes.
std::vector<comparison> compare_days(const std::vector<day_result>& first,
                                     const std::vector<day_result>& second);

} // namespace figwinch::experiment
