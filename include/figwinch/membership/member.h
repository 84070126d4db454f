#pragma once

#include "figwinch/base.h"

#include <string>

namespace figwinch {

enum class member_role { entry, scheduler };

/// What a process has seen of another.
enum class member_state {
    /// Heard from within the suspicion limit.
    live,
    /// Says that it is stopping: it finishes what it has and takes nothing new.
    leaving,
    /// Not heard from lately; may be dead, frozen or cut off.
    suspect,
    /// Not heard from for so long that its work is taken over where that is proven safe.
    dead,
};

/// One of figwinch's own processes.
struct member {
    node_id node;
    incarnation_id incarnation;
    member_role role = member_role::entry;
    data_centre_id data_centre;
    /// IP number and port of its bus.
    std::string address;
    member_state state = member_state::suspect;
    instant last_heard{};
};

} // namespace figwinch
