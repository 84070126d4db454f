#pragma once

#include "figwinch/base.h"

#include <absl/container/flat_hash_map.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace figwinch {

/// A small dense index that identifies an image in the tables of this library.
using image_number = std::size_t;

/// The CPU usage of one best-effort image next to a serving task, as a share of the worker's CPU.
struct image_share {
    image_number image = 0;
    double share = 0;
};

/// The estimated utilisation of one serving task by its own users' requests. It varies within
/// seconds and independently for each task.
struct load_estimate {
    /// log(utilisation) minus the mean of the task's image.
    double deviation = 0;
    double variance = 0;
    /// The time of the newest report. The default value means that there was none yet.
    instant reported_at{};
};

/// Learns by how much each best-effort image slows down each serving image on the same worker.
///
/// Models a serving task as a single-server queue: its tail latency is `unloaded / (1 -
/// utilisation)`, and its neighbours multiply the utilisation by the exponential of the sum of
/// slowdown x CPU share over all best-effort images next to it. Thus the effect of a neighbour on
/// the tail latency depends on the task's current utilisation, but the slowdown of a pair of images
/// doesn't, so that it can be learned in seconds and remains valid.
///
/// The estimator is a Kalman filter with independent terms: each task's own load (`load_estimate`,
/// owned by the caller), the mean load of each serving image, and the slowdown of each pair. A pair
/// without observations is assumed to have the mean slowdown of the best-effort image over the
/// pairs that have been observed.
///
/// A slowdown is a logarithm, at least 0, and refers to a best-effort image that uses the whole
/// worker. Owned by the coordinator, which stores the table in the log for its successors.
class slowdown_model {
public:
    /// Returns the number of an image and assigns one if necessary. When the maximum number of
    /// images is reached, all further images share the last number.
    image_number number_of(const std::string& image);

    /// Updates the model with one report of a serving task: its ratio of tail latency to latency
    /// target, and the best-effort images that ran next to it at that time.
    void learn(image_number serving, double tail_ratio, std::span<const image_share> neighbours,
               load_estimate& own, instant now);

    double slowdown(image_number serving, image_number best_effort) const;
    double total_slowdown(image_number serving, std::span<const image_share> neighbours) const;
    /// The total slowdown (a logarithm) at which the tail latency of a task reaches `aim` times its
    /// target, given the estimate of its own load.
    double headroom(image_number serving, const load_estimate& own, double aim) const;
    /// Like `headroom`, for a task of which only the image is known, at a load of `above_mean` (a
    /// logarithm) above the mean of that image.
    double typical_headroom(image_number serving, double above_mean, double aim) const;

    /// How much two serving images differ in their sensitivity to best-effort images, from 0 to 1.
    /// On a worker that runs both, best-effort tasks must be throttled for the more sensitive one.
    double sensitivity_difference(image_number one, image_number other) const;

    /// Serialises the table, and merges a serialised table into this one. `restore` ignores
    /// malformed records and values.
    std::string encode() const;
    void restore(std::string_view record);

private:
    struct pair_estimate {
        double slowdown = 0;
        double variance = 0;
        bool known = false;
    };
    struct serving_row {
        double mean_log_load = 0;
        double mean_variance = 0;
        /// The log of a low quantile of tail latency / latency target, from which the tail latency
        /// of the unloaded task is derived.
        double low_log_ratio = 0;
        std::uint32_t reports = 0;
        std::vector<pair_estimate> pairs;
    };
    /// The sum and number of the observed slowdowns of one best-effort image.
    struct best_effort_column {
        double sum = 0;
        int known = 0;
    };

    static void update_low_quantile(serving_row& row, double tail_ratio);
    void update_pair(serving_row& row, const image_share& neighbour, double error, double total);
    void set_pair(pair_estimate& pair, image_number best_effort, double slowdown);
    double expected_slowdown(const pair_estimate& pair, image_number best_effort) const;

    absl::flat_hash_map<std::string, image_number> numbers_;
    std::vector<serving_row> rows_;
    std::vector<best_effort_column> columns_;
};

} // namespace figwinch
