#pragma once

#include "figwinch/base.h"

#include <cstdint>
#include <string>
#include <vector>

namespace figwinch {

/// One step of a job: tasks that are alike. Plain value; checked by `check_job`.
struct step_spec {
    /// Number of tasks, 1 or more.
    std::uint32_t tasks = 0;
    /// What one task takes.
    resources size;
    /// The submitter's guess of one task's run time; often far off.
    duration estimate{};
    /// Numbers of earlier steps that must have ended well first.
    std::vector<std::uint32_t> after;
    /// All tasks start and end together.
    bool gang = false;
    /// A gang that wants one rack.
    bool one_rack = false;
    /// Tasks save their progress and can resume from it.
    bool checkpoints = false;
    /// Several copies of one task may run at a time.
    bool copies_allowed = false;
    /// Tasks run until the job is cancelled and are started again however they end.
    bool lasting = false;
    /// The tasks' processors aren't counted: they live on what others leave.
    bool filling = false;
    /// A label that the worker must carry; empty: any.
    std::string label;
    /// The rack that holds the data; empty: none.
    rack_id near_rack;
    /// Names what runs: tasks of one image behave alike.
    std::string image;
    /// At most this many tasks of the step on one worker; 0: no bound.
    std::uint32_t most_per_worker = 0;
    /// Bound of the response-time tail of a lasting task; 0: none.
    duration tail_target{};
    /// How many tasks of a lasting step may be away at a time by our own doing.
    std::uint32_t may_miss = 0;
};

} // namespace figwinch
