#pragma once

#include "figwinch/interference.h"

#include <memory>
#include <string>

namespace figwinch {

/// One way of living with interference, as the fake cluster runs it.
struct interference_policy {
    std::string name;
    /// Share of a host's batch room that may be committed.
    double room_fraction = 1;
    /// Null: nothing is throttled or evicted.
    std::unique_ptr<interference_controller> controller;
    /// Whether placement asks the controller for penalties.
    bool learned_placement = false;
};

} // namespace figwinch
