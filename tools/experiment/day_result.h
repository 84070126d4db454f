#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace figwinch::experiment {

/// What became of one class on one day. Of tasks that last there is no end and no time to it, of
/// others no share served.
struct class_result {
    std::string name;
    std::int64_t handed_in = 0;
    std::int64_t accepted = 0;
    std::int64_t in_time = 0;
    std::int64_t late = 0;
    /// Ended badly: a task used up its attempts.
    std::int64_t failed = 0;
    /// Accepted and open when the day was over; none of tasks that last.
    std::int64_t unfinished = 0;
    /// From handing in to the end, s.
    std::optional<double> p50_s;
    std::optional<double> p99_s;
    /// Of the time in which tasks were wanted: they ran, and within their target.
    std::optional<double> share_served;
    /// Of the work: in time 1, late 0.15, else 0; of tasks that last the share served.
    std::optional<double> worth;
    /// Core-seconds that callers wanted.
    double work = 0;
    std::int64_t starts = 0;
    std::int64_t stops = 0;
    std::int64_t lapses = 0;
};

/// One day: the classes in the order of the load, then all of them as "all".
struct day_result {
    std::string setup;
    std::uint64_t seed = 0;
    std::vector<class_result> classes;
};

} // namespace figwinch::experiment
