#pragma once

#include "figwinch/base.h"
#include "figwinch/net.h"

#include <string>
#include <vector>

namespace figwinch {

/// A worker as shown in the platform's worker list, which may lag behind by one or two seconds.
struct worker_listing {
    worker_id id;
    /// Identifies the incarnation of the worker by its start time, in ms since 1970. A worker with
    /// a different value has restarted and has none of the runs of the earlier incarnation.
    std::uint64_t incarnation = 0;
    service_id service;
    endpoint address;
    data_centre_id data_centre;
    rack_id rack;
    std::vector<std::string> labels;
    resources capacity;
    bool leaving = false;
    /// The remaining warm-up time: how much longer the worker is slower than normal after its
    /// start.
    duration warmup_left{};

    friend bool operator==(const worker_listing&, const worker_listing&) = default;
};

} // namespace figwinch
