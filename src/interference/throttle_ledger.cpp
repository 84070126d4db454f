#include "interference/throttle_ledger.h"

#include <algorithm>

namespace figwinch {
namespace {

constexpr double millis_per_core = 1000;

} // namespace

void throttle_ledger::note_throttled(const task_id& task, int percent, instant now) {
    commands_[task] = {.percent = percent, .at = now};
}

void throttle_ledger::note_evicted(const task_id& task, instant now) {
    commands_[task] = {.percent = 0, .evicted = true, .at = now};
}

std::vector<controlled_task> throttle_ledger::apply(const std::vector<batch_neighbour>& listed,
                                                    instant now) {
    absl::erase_if(commands_,
                   [now](const auto& entry) { return now - entry.second.at > command_life; });
    std::vector<controlled_task> tasks;
    tasks.reserve(listed.size());
    for (const batch_neighbour& neighbour : listed) {
        const int listed_percent = std::clamp(neighbour.throttle_percent, 1, 100);
        const auto last = commands_.find(neighbour.task);
        const bool commanded = last != commands_.end();
        if (commanded && last->second.evicted)
            continue;
        const int percent = commanded ? last->second.percent : listed_percent;
        const double cores = static_cast<double>(neighbour.used.cpu_millis) / millis_per_core;
        tasks.push_back({.task = neighbour.task,
                         .copied_from = neighbour.copied_from,
                         .cores = cores * percent / listed_percent,
                         .percent = percent,
                         .checkpointable = neighbour.checkpointable});
    }
    return tasks;
}

} // namespace figwinch
