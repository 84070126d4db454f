#pragma once

#include "interference/controlled_task.h"

#include <absl/container/flat_hash_map.h>

#include <vector>

namespace figwinch {

/// What was commanded for the tasks of one host. The workers' lists lag: for a while after a
/// command they still show the old throttle, and acting on that would repeat the command or undo
/// it. After `command_life` the list is believed again, since the command may have been lost.
class throttle_ledger {
public:
    static constexpr duration command_life = std::chrono::seconds(10);

    void note_throttled(const task_id& task, int percent, instant now);
    void note_evicted(const task_id& task, instant now);
    /// The tasks of a lagging list as they should be by now, without those being evicted; forgets
    /// commands whose time is up.
    std::vector<controlled_task> apply(const std::vector<batch_neighbour>& listed, instant now);

private:
    struct command {
        int percent = 100;
        bool evicted = false;
        instant at{};
    };

    absl::flat_hash_map<task_id, command> commands_;
};

} // namespace figwinch
