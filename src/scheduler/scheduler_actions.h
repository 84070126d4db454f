#pragma once

#include "figwinch/lease.h"
#include "figwinch/membership.h"
#include "wire.pb.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace figwinch {

/// A record for the jobs stream.
struct append_action {
    std::string payload;
};

/// A question to a peer about the workers that it holds.
struct fence_ask {
    member peer;
    pb::FenceQuery query;
};

/// What a scheduler wants done now; all of it counts as sent.
struct scheduler_actions {
    std::vector<worker_command> commands;
    std::optional<append_action> append;
    std::vector<fence_ask> asks;
    /// Read the jobs stream now rather than at the next poll.
    bool read_log = false;
};

} // namespace figwinch
