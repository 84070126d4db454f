#pragma once

#include "bench/interference_baseline.h"

#include <algorithm>
#include <string>
#include <vector>

namespace figwinch {

/// Goes by use instead of latency: holds the processors that batch tasks use on a host under a
/// limit by one throttle for all.
class interference_usage final : public interference_baseline {
public:
    explicit interference_usage(double limit_cores) : limit_cores_(limit_cores) {}

    std::vector<interference_action> decide(const std::string& /*host*/,
                                            const std::vector<batch_neighbour>& tasks,
                                            instant /*now*/) override {
        double unthrottled = 0;
        for (const batch_neighbour& task : tasks)
            unthrottled += static_cast<double>(task.used.cpu_millis) / 10 / task.throttle_percent;
        const double share = unthrottled > 0 ? std::min(1.0, limit_cores_ / unthrottled) : 1;
        const int level = std::max(5, static_cast<int>(share * 20) * 5);
        std::vector<interference_action> actions;
        for (const batch_neighbour& task : tasks) {
            if (task.throttle_percent != level)
                actions.push_back({task.task, interference_step::throttle, level});
        }
        return actions;
    }

private:
    double limit_cores_;
};

} // namespace figwinch
