#pragma once

#include "bench/interference_baseline.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace figwinch {

/// Additive increase, multiplicative decrease of one throttle for all batch tasks of a host.
class interference_aimd final : public interference_baseline {
public:
    std::vector<interference_action> decide(const std::string& host,
                                            const std::vector<batch_neighbour>& tasks,
                                            instant now) override {
        int& level = levels_.try_emplace(host, 100).first->second;
        if (begin_step(host, now))
            level = ratio(host) > 1 ? std::max(level / 2, 5) : std::min(level + 5, 100);
        std::vector<interference_action> actions;
        for (const batch_neighbour& task : tasks) {
            if (task.throttle_percent != level)
                actions.push_back({task.task, interference_step::throttle, level});
        }
        return actions;
    }

private:
    std::map<std::string, int> levels_;
};

} // namespace figwinch
