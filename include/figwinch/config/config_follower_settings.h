#pragma once

#include "figwinch/base.h"
#include "figwinch/log/log_evidence.h"

namespace figwinch {

/// How a process follows the `config` stream.
struct config_follower_settings {
    /// Spreads work that one process does for all.
    node_id self;
    duration poll_period = std::chrono::milliseconds(200);
    /// After this a fetch from a peer counts as unanswered, and a read when `longest_log_answer`
    /// has passed too.
    duration timeout = std::chrono::seconds(1);
    std::size_t page_records = 256;
    freshness_limits freshness{};
    /// How long the log keeps a record, as the platform promises. A snapshot is appended when the
    /// last one is half that old.
    duration retention = std::chrono::hours(1);
    /// A snapshot is also appended after this many records.
    std::uint64_t snapshot_every = 1000;
};

} // namespace figwinch
