#pragma once

#include "figwinch/base.h"

namespace figwinch {

/// When silence becomes a state of a member.
struct membership_limits {
    duration suspect_after = std::chrono::milliseconds(1500);
    duration dead_after = std::chrono::seconds(5);
    /// A dead member is dropped after this much silence.
    duration forget_after = std::chrono::minutes(10);
    /// Members beyond this are not taken in.
    std::size_t max_members = 1024;
    /// A longer pause between two calls of `member_table::advance` is this process's own.
    duration own_pause = std::chrono::milliseconds(750);
};

} // namespace figwinch
