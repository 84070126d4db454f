#pragma once

#include "figwinch/base.h"

#include <memory>
#include <string>
#include <vector>

namespace figwinch {

/// A batch task as interference control sees it.
struct batch_neighbour {
    task_id task;
    template_id copied_from;
    resources used;
    int throttle_percent = 100;
    bool checkpointable = false;
};

enum class interference_step { throttle, evict };

/// What to do to one task. `percent` is the new throttle; 100 lifts it.
struct interference_action {
    task_id task;
    interference_step step = interference_step::throttle;
    int percent = 100;
};

/// Keeps the latency of each host's services under its target with as little batch work lost as
/// possible: throttle first, then checkpoint and evict, with hysteresis so that shifting load does
/// not make it oscillate. Learns which templates hurt which services. Owned by a scheduler.
class interference_controller {
public:
    struct settings {
        /// Ratio of p99 to target above which it acts, and below which it lets up again.
        double act_above = 0.85;
        double release_below = 0.7;
        /// Shortest time between two steps on one host; covers the lag of the reports.
        duration step_interval = std::chrono::seconds(2);
        /// How long a host stays calm before a throttle is lifted one step.
        duration calm_before_release = std::chrono::seconds(10);
    };

    static std::unique_ptr<interference_controller> create(const settings& with);
    virtual ~interference_controller() = default;

    /// The fastest signal: what entries saw of an executor on this host since the last call.
    virtual void observe_latency(const std::string& host, const service_id& service, duration p99,
                                 duration target, std::int64_t samples, instant now) = 0;
    /// Decides for one host, given the batch tasks that run on it (a lagging list).
    virtual std::vector<interference_action>
    decide(const std::string& host, const std::vector<batch_neighbour>& tasks, instant now) = 0;
    /// How much a task of this template is expected to hurt the host, 0 (not) to 1; placement
    /// prefers low values.
    virtual double penalty(const std::string& host, const template_id& copied_from,
                           instant now) const = 0;
};

} // namespace figwinch
