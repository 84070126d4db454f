#pragma once

#include "figwinch/membership.h"

#include <map>
#include <optional>

namespace figwinch {

/// Which other entries have executor slots to lend, from their heartbeats and replies. Owned by the
/// daemon.
class peer_slots {
public:
    explicit peer_slots(data_centre_id own) : own_(std::move(own)) {}

    /// What a heartbeat or a reply of the entry just said.
    void note_free(const member& entry, std::uint32_t free_slots);
    void forget(const node_id& node) { peers_.erase(node); }
    /// The entry that a request should be forwarded to; empty when none is known to have a free
    /// slot. Entries of other data centres are taken only when `far` is allowed. The slot counts as
    /// taken until `note_free` or `give_back`.
    std::optional<member> take(bool far);
    bool has_free(bool far) const;
    void give_back(const node_id& node);
    /// Whether another live entry of this data centre exists at all.
    bool has_near_peer() const;

private:
    struct lender {
        member entry;
        std::uint32_t free = 0;
    };

    bool may_take(const lender& it, bool far) const;

    data_centre_id own_;
    std::map<node_id, lender> peers_;
};

} // namespace figwinch
