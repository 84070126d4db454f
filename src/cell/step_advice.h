#pragma once

#include "figwinch/cell/worker_advisor.h"

#include <absl/container/flat_hash_map.h>

namespace figwinch {

/// The advisor's answers for one step: per worker, the verdict whether it may run the step, which
/// is final, and a ticket, which expires and is not known to later incarnations of the worker.
/// Owned by the step. Not stored in the log, because the next coordinator can ask the advisor
/// again.
class step_advice {
public:
    /// Applies the answer to a call about the workers in `asked`. The validity of the tickets
    /// counts from `sent`, when the call was sent, since they may have been issued as early as
    /// that.
    void apply_answer(const std::vector<worker_id>& asked, const worker_advice& advice,
                      duration default_validity, instant sent);
    /// Returns a ticket that will still be valid when an order sent now arrives, or null if there
    /// is none.
    const std::string* ticket(const worker_id& worker, std::uint64_t incarnation,
                              instant now) const;
    /// Binds the ticket to the incarnation of the worker for which it is used first. Has no effect
    /// if it is bound already.
    void bind_incarnation(const worker_id& worker, std::uint64_t incarnation);
    /// Discards the ticket after the worker has rejected it.
    void drop_ticket(const worker_id& worker);
    /// Whether the advisor should be asked about a worker: the worker hasn't been ruled out and
    /// there is no valid ticket for it.
    bool should_ask(const worker_id& worker, std::uint64_t incarnation, instant now) const;
    bool is_allowed(const worker_id& worker) const;

private:
    struct verdict {
        bool allowed = false;
        std::string ticket;
        instant valid_until{};
        /// The incarnation of the worker that the ticket is bound to; 0 if it isn't bound yet.
        std::uint64_t incarnation = 0;
    };
    absl::flat_hash_map<worker_id, verdict> verdicts_;
};

} // namespace figwinch
