#pragma once

#include "figwinch/membership.h"

#include <map>
#include <optional>

namespace figwinch {

/// What an entry says of its own executors.
struct peer_load {
    std::uint32_t free_slots = 0;
    std::uint32_t slots = 0;
    /// Requests that wait there.
    std::uint32_t queued = 0;
};

/// Which other entries have executor slots to lend, from their heartbeats and replies, and where
/// the queue is shortest when nobody has. Owned by the daemon.
class peer_slots {
public:
    explicit peer_slots(data_centre_id own) : own_(std::move(own)) {}

    /// What a heartbeat or a reply of the entry just said.
    void note(const member& entry, const peer_load& load);
    void forget(const node_id& node) { peers_.erase(node); }
    /// The entry that a request should be forwarded to; empty when none is known to have a free
    /// slot. Entries of other data centres are taken only when `far` is allowed. The slot counts as
    /// taken until `note` or `give_back`.
    std::optional<member> take(bool far);
    bool has_free(bool far) const;
    void give_back(const node_id& node);
    /// The entry whose queue is shortest for its slots, when that is shorter than `own` waiting
    /// requests per slot. The request counts as queued there until `note`.
    std::optional<member> shorter_queue(double own, bool far);
    /// Whether a live entry of this data centre has any slots.
    bool has_near_slots() const;

private:
    struct lender {
        member entry;
        peer_load load;
    };

    bool may_use(const lender& it, bool far) const;

    data_centre_id own_;
    std::map<node_id, lender> peers_;
};

} // namespace figwinch
