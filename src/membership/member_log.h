#pragma once

#include "figwinch/membership/member.h"

#include <map>
#include <span>

namespace figwinch {

/// Writes a line for each change of what a process sees of its peers. Owned by the peer service.
class member_log {
public:
    /// `members` is everything that is known now.
    void note(std::span<const member> members, instant now);

private:
    struct noted {
        incarnation_id incarnation;
        member_state state = member_state::suspect;

        bool operator==(const noted&) const = default;
    };
    std::map<node_id, noted> noted_;
};

} // namespace figwinch
