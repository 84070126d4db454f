#pragma once

#include "figwinch/base.h"

#include <cstdint>
#include <string>
#include <vector>

namespace figwinch {

/// One step of a job: a set of identical tasks. Validated by `validate_job`.
struct step_spec {
    /// The number of tasks, at least 1.
    std::uint32_t tasks = 0;
    /// The resources that one task requests.
    resources size;
    /// The submitter's estimate of the run time of one task. Often inaccurate.
    duration estimate{};
    /// Numbers of the earlier steps that must succeed before this step starts.
    std::vector<std::uint32_t> depends_on;
    /// Gang scheduling: all tasks of the step start and end together.
    bool gang = false;
    /// All members of the gang must be placed in the same rack.
    bool one_rack = false;
    /// The tasks save checkpoints from which a later run can resume.
    bool saves_checkpoints = false;
    /// Several runs of one task may exist at the same time.
    bool copies_allowed = false;
    /// The tasks are service tasks: they run until the job is cancelled and are restarted whenever
    /// they end, whatever the reason.
    bool is_service = false;
    /// The tasks are best-effort tasks: they use the CPU that other tasks leave idle, and their CPU
    /// request isn't counted against the capacity of the worker.
    bool is_best_effort = false;
    /// A label that the worker must have. Empty means any worker.
    std::string label;
    /// The rack that stores the input data; workers in it are preferred. Empty means no preference.
    rack_id preferred_rack;
    /// Identifies the program that the tasks run. Tasks with the same image are expected to behave
    /// alike.
    std::string image;
    /// The maximum number of tasks of this step on one worker. 0 means no limit.
    std::uint32_t max_per_worker = 0;
    /// The latency target of a service task: the upper bound for its tail latency. 0 means none.
    duration latency_target{};
    /// The disruption budget of a service step: how many of its tasks the scheduler may have down
    /// voluntarily at the same time.
    std::uint32_t disruption_budget = 0;
};

} // namespace figwinch
