#pragma once

#include "tools/experiment/step_load.h"

#include <string>

namespace figwinch::experiment {

/// What the tasks of a class do.
enum class task_kind {
    /// They hold their processors and end.
    batch,
    /// They live on what others leave, and end.
    filling,
    /// They run until the day is over.
    lasting,
    /// The same, with a bound of the tail of their response times.
    serving,
};

/// Jobs that are alike, and how they come.
struct class_load {
    std::string name;
    task_kind kind = task_kind::batch;
    /// By chance, through the whole day.
    double arrivals_per_s = 0;
    std::int64_t jobs_at_start = 0;
    /// So many jobs at one moment, again and again; none: no bursts.
    duration burst_every{};
    std::int64_t burst_jobs = 0;
    /// The objective: so many times the longest chain of guesses, and `target` more.
    double stretch = 2;
    duration target{};
    duration tail_target{};
    std::vector<step_load> steps;

    bool lasts() const { return kind == task_kind::lasting || kind == task_kind::serving; }
};

} // namespace figwinch::experiment
