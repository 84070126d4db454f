#pragma once

#include "bench/interference_baseline.h"

#include <algorithm>
#include <string>
#include <vector>

namespace figwinch {

/// Evicts the task that uses most processors whenever a report is over the target.
class interference_evict_first final : public interference_baseline {
public:
    std::vector<interference_action> decide(const std::string& host,
                                            const std::vector<batch_neighbour>& tasks,
                                            instant now) override {
        if (tasks.empty() || ratio(host) <= 1 || !begin_step(host, now))
            return {};
        const auto cores = [](const batch_neighbour& task) { return task.used.cpu_millis; };
        const auto largest = std::ranges::max_element(tasks, {}, cores);
        return {{largest->task, interference_step::evict, 0}};
    }
};

} // namespace figwinch
