#pragma once

#include "figwinch/interference/interference_controller.h"

namespace figwinch {

/// A batch task with the throttle that it is meant to have by now.
struct controlled_task {
    task_id task;
    template_id copied_from;
    /// What it takes at its present throttle, in cores.
    double cores = 0;
    int percent = 100;
    bool checkpointable = false;
};

} // namespace figwinch
