#pragma once

#include "figwinch/base/ids.h"

#include <cstdint>

namespace figwinch {

enum class claim_state {
    /// Ask the other entries, or wait for more of their votes.
    pending,
    /// This entry alone may dispatch the request, by `dispatch_guard::use`.
    granted,
    /// Another entry (or an earlier send to this one) has the request.
    held,
    /// Too few entries could vouch for it. Nothing may be run, and "not run" can't be said.
    no_quorum,
};

/// How far a claim has come.
struct claim_progress {
    claim_state state = claim_state::no_quorum;
    std::uint64_t sequence = 0;
    /// Who has it, when held.
    incarnation_id holder;
    /// The holder is known to have sent it to an executor.
    bool dispatched = false;
};

} // namespace figwinch
