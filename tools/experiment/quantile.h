#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

namespace figwinch::experiment {

/// The value of a rank, 0 to 1, by nearest rank. The list must not be empty. Exact and the same on
/// every run; prometheus-cpp's summary is neither, since its window is of real time.
inline double quantile(std::vector<double> values, double rank) {
    const double last = std::max(1.0, std::ceil(rank * static_cast<double>(values.size())));
    const auto at = values.begin() + static_cast<std::ptrdiff_t>(last) - 1;
    std::nth_element(values.begin(), at, values.end());
    return *at;
}

} // namespace figwinch::experiment
