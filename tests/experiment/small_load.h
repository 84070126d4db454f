#pragma once

#include "tools/experiment/setup.h"

namespace figwinch::experiment {

/// A day of 20 s on six workers in two data centres, with short, filling and serving tasks.
inline setup small_setup() {
    setup with;
    with.name = "base";
    load_spec& load = with.load;
    load.day = std::chrono::seconds(20);
    load.settle = std::chrono::seconds(60);
    load.workers = 6;
    load.data_centres = 2;
    load.cores_per_worker = 8;
    class_load& quick = load.classes.emplace_back();
    quick.name = "quick";
    quick.arrivals_per_s = 1;
    quick.steps.push_back({3, std::chrono::seconds(1), 0.4, 1, 0.4, 1, 256, {}});
    class_load& filling = load.classes.emplace_back();
    filling.name = "filling";
    filling.kind = task_kind::filling;
    filling.arrivals_per_s = 0.4;
    filling.steps.push_back({4, std::chrono::seconds(2), 0.4, 1, 0.4, 2, 256, {}});
    class_load& serving = load.classes.emplace_back();
    serving.name = "serving";
    serving.kind = task_kind::serving;
    serving.jobs_at_start = 2;
    serving.tail_target = std::chrono::milliseconds(50);
    serving.steps.push_back({3, std::chrono::seconds(1), 0, 1, 0, 2, 256, {}});
    return with;
}

} // namespace figwinch::experiment
