#pragma once

#include <absl/container/flat_hash_map.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace figwinch {

/// Numbers an image for the tables of this library; small and dense.
using image_number = std::size_t;

/// Work of one filling image beside a serving task, as a share of the worker's processors.
struct image_share {
    image_number image = 0;
    double share = 0;
};

/// Learns how much each filling image slows each serving image: an online regression of the
/// logarithm of tail over target on the shares of the neighbours. The harm of a pair is the growth
/// of that logarithm for a whole worker of the filling image, never below 0. Pairs differ by
/// factors of ten: most of the art of sharing is to find a harmless neighbour. Owned by the
/// coordinator, which records it for its successors.
class harm_table {
public:
    /// The number of an image; all images beyond a bound share one.
    image_number number(const std::string& image);

    /// One measurement: log(tail / target) of a serving image with what filled beside it.
    void learn(image_number serving, double log_ratio, std::span<const image_share> beside);
    double harm(image_number serving, image_number filling) const;
    /// Mean of log(tail / target) of a serving image with nothing beside it.
    double alone(image_number serving) const;
    /// The table as a record, and back. What can't be read leaves the table as it is.
    std::string encode() const;
    void restore(std::string_view record);
    /// Sum of the harms of the neighbours at their shares.
    double harm_of(image_number serving, std::span<const image_share> beside) const;

private:
    struct serving_row {
        double alone = 0;
        std::vector<double> harms;
        /// Measurements of each pair, up to where the steps no longer shrink.
        std::vector<int> seen;
    };

    absl::flat_hash_map<std::string, image_number> numbers_;
    std::vector<serving_row> rows_;
};

} // namespace figwinch
