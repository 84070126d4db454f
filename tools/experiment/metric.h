#pragma once

#include "tools/experiment/day_result.h"

#include <optional>
#include <span>
#include <string_view>

namespace figwinch::experiment {

/// One column of the results.
struct metric {
    std::string_view name;
    /// Nothing where it makes no sense for the class.
    std::optional<double> (*of)(const class_result&);
};

/// All columns, in order.
std::span<const metric> metrics();

} // namespace figwinch::experiment
