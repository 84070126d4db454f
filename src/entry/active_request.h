#pragma once

#include "entry/final_answer.h"
#include "entry/interactive_request.h"

#include <functional>
#include <memory>
#include <vector>

namespace figwinch {

/// A request that this entry has taken and not yet answered. Owned by `request_service`.
struct active_request {
    using answer_handler = std::function<void(const final_answer&)>;

    std::uint64_t number = 0;
    interactive_request request;
    /// The caller, and resends of the same id that came meanwhile.
    std::vector<answer_handler> waiters;
    /// Of the claim; 0 when none is held.
    std::uint64_t claim = 0;
    /// Another entry sent it here because this one has free slots: it holds the claim, and the
    /// request goes no further.
    bool is_forwarded = false;
    dispatch_history history;
    std::vector<executor_id> tried;
    instant received{};
    std::unique_ptr<event_handle> retry;

    bool needs_claim() const { return !request.idempotent && !is_forwarded; }
};

} // namespace figwinch
