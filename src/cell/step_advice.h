#pragma once

#include "figwinch/cell/worker_advisor.h"

#include <absl/container/flat_hash_map.h>

namespace figwinch {

/// What is known of the workers that may run one step: verdicts, which stand, and tickets, which
/// lapse and which a worker's next life doesn't know. Owned by its step; lost with the reign, since
/// a successor can ask again.
class step_advice {
public:
    /// Takes an answer to a call about `asked` that was sent at `sent`: a ticket may have been
    /// issued as early as that.
    void take(const std::vector<worker_id>& asked, const worker_advice& advice,
              duration usual_validity, instant sent);
    /// A ticket that still holds when an order with it arrives; nothing when there is none.
    const std::string* ticket(const worker_id& worker, std::uint64_t born_ms, instant now) const;
    /// Remembers for which life of the worker a ticket is used first.
    void bind_life(const worker_id& worker, std::uint64_t born_ms);
    /// The worker didn't take its ticket.
    void drop_ticket(const worker_id& worker);
    /// Whether it makes sense to ask about a worker: it hasn't been refused, and has no ticket.
    bool is_open(const worker_id& worker, std::uint64_t born_ms, instant now) const;
    bool is_good(const worker_id& worker) const;

private:
    struct verdict {
        bool good = false;
        std::string ticket;
        instant valid_until{};
        /// 0 until a life is bound.
        std::uint64_t born_ms = 0;
    };
    absl::flat_hash_map<worker_id, verdict> verdicts_;
};

} // namespace figwinch
