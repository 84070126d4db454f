#pragma once

#include "cell/slowdown_model.h"
#include "figwinch/base.h"

#include <vector>

namespace figwinch {

/// The tail latency of one serving task, smoothed over its last reports because single reports are
/// noisy.
struct tail_estimate {
    /// log(tail latency / latency target).
    double log_ratio = -1;
    instant reported_at{};
};

/// The state of a serving task (a service task with a latency target) in its worker's last report.
struct serving_view {
    image_number image = 0;
    /// Tail latency / latency target.
    double tail_ratio = 0;
    /// The estimate of the task's own load. Owned by the task's run.
    load_estimate* load = nullptr;
    /// The smoothed tail latency. Owned by the task's run.
    tail_estimate* tail = nullptr;
};

/// A best-effort task on the same worker as the serving tasks.
struct best_effort_view {
    image_number image = 0;
    /// The share of the worker's CPU that the task uses when it isn't throttled.
    double unthrottled_share = 0;
    /// The task is throttled before all others, but not below this speed, in percent, unless it is
    /// paused. 0: a task like others.
    int first_throttled_to = 0;
    /// A service task, which never ends. It is throttled before the batch tasks that aren't
    /// throttled first: these free the CPU within seconds, if they get it.
    bool is_service = false;
    /// Limit on the speed that the task may get.
    int max_percent = 100;
    /// Output of `throttle_controller::decide`: the speed to which the task is throttled, in
    /// percent.
    int speed_percent = 100;
};

/// Throttles the best-effort tasks of one worker so that its serving tasks meet their latency
/// targets. The current load of a serving task determines how much slowdown by neighbours it can
/// tolerate. Best-effort tasks are throttled just enough to stay within that, beginning with those
/// that cause the most slowdown per core. If a target is missed nevertheless for a second, every
/// best-effort task that may be the cause is paused, and after another second all of them.
class throttle_controller {
public:
    /// Sets `speed_percent` of each element of `best_effort`.
    void decide(const slowdown_model& model, const std::vector<serving_view>& serving,
                std::vector<best_effort_view>& best_effort, instant now);

    /// Whether another best-effort task may start on the worker: no serving task was over its
    /// latency target in the last report, and no best-effort task is paused on behalf of one. This
    /// check is needed because a new task runs at full speed until its first report.
    bool admits_best_effort(instant now) const {
        return !is_over_target_ && now >= suspects_paused_until_ && now >= all_paused_until_;
    }

private:
    duration time_over_target(const std::vector<serving_view>& serving, instant now);

    instant over_target_since_{};
    bool is_over_target_ = false;
    instant suspects_paused_until_{};
    instant all_paused_until_{};
};

} // namespace figwinch
