#pragma once

#include "figwinch/base.h"

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

/// What is known of the utilisation that one serving task's own users cause. It swings in seconds,
/// each task by itself.
struct load_estimate {
    /// log(utilisation), against the mean of the task's image.
    double deviation = 0;
    double variance = 0;
    /// Of the newest report; the begin of time: none yet.
    instant reported_at{};
};

/// Learns how much each filling image slows each serving image.
///
/// A serving task is taken as a queue with one server: its tail is `unloaded / (1 - utilisation)`,
/// and neighbours multiply its utilisation by the exponential of the sum of slowdown x share over
/// the filling images beside it. So the tail that a neighbour causes hangs on how busy the task is
/// just then, but the slowdown of a pair of images doesn't: it is learned in seconds and holds.
/// A Kalman filter with independent terms: the own load of each task (`load_estimate`, kept by the
/// caller), the mean load of each serving image, and the slowdown of each pair. Images that nothing
/// is known of beside one serving image count as what they are beside the others.
///
/// Slowdowns are logarithms for a whole worker of the filling image, never below 0. Owned by the
/// coordinator, which records the table for its successors.
class slowdown_model {
public:
    /// The number of an image; all images beyond a bound share one.
    image_number number(const std::string& image);

    /// One report of a serving task: tail / target, with what filled beside it meanwhile.
    void learn(image_number serving, double tail_ratio, std::span<const image_share> beside,
               load_estimate& own, instant now);

    double slowdown(image_number serving, image_number filling) const;
    double slowdown_of(image_number serving, std::span<const image_share> beside) const;
    /// How much slowdown (a logarithm) leaves the tail of a task at `aim` of its target, when its
    /// own load is what is estimated.
    double headroom(image_number serving, const load_estimate& own, double aim) const;
    /// The same for a task of which only the image is known, at `above_mean` more than the mean
    /// load (a logarithm).
    double usual_headroom(image_number serving, double above_mean, double aim) const;

    /// How differently two serving images are slowed, 0 to 1: on a worker that both share a filling
    /// image has to spare the more sensitive one.
    double difference(image_number one, image_number other) const;

    /// The table as a record, and back. What can't be read leaves the table as it is.
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
        /// log of a low quantile of tail / target, from which the unloaded tail follows.
        double low_log_ratio = 0;
        std::uint32_t reports = 0;
        std::vector<pair_estimate> pairs;
    };
    /// Over the known pairs of one filling image.
    struct filling_column {
        double sum = 0;
        int known = 0;
    };

    static void learn_unloaded(serving_row& row, double tail_ratio);
    void learn_pair(serving_row& row, const image_share& beside, double error, double total);
    void set_pair(pair_estimate& pair, image_number filling, double slowdown);
    double expected(const pair_estimate& pair, image_number filling) const;

    absl::flat_hash_map<std::string, image_number> numbers_;
    std::vector<serving_row> rows_;
    std::vector<filling_column> columns_;
};

} // namespace figwinch
