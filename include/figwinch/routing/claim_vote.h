#pragma once

#include "figwinch/base/ids.h"

namespace figwinch {

enum class vote_kind {
    /// The voter gives the claim to the asker and to nobody else for the window.
    granted,
    /// Somebody else holds it.
    denied,
    /// The voter can't vouch: it is younger than the window, or its memory is full.
    abstained,
};

/// One entry's answer to a claim.
struct claim_vote {
    vote_kind kind = vote_kind::abstained;
    /// Who holds the claim, when denied.
    incarnation_id holder;
    /// The voter itself is the holder and has sent the request to an executor.
    bool dispatched = false;
};

} // namespace figwinch
