#include "entry/peer_slots.h"

#include <algorithm>

namespace figwinch {

void peer_slots::note_free(const member& entry, std::uint32_t free_slots) {
    peers_[entry.node] = {entry, free_slots};
}

bool peer_slots::may_take(const lender& it, bool far) const {
    if (it.free == 0 || it.entry.state != member_state::live)
        return false;
    return far || it.entry.data_centre == own_;
}

std::optional<member> peer_slots::take(bool far) {
    const auto is_better = [this](const lender& one, const lender& other) {
        const bool near = one.entry.data_centre == own_;
        const bool other_near = other.entry.data_centre == own_;
        return near != other_near ? near : one.free > other.free;
    };
    lender* best = nullptr;
    for (auto& [node, it] : peers_)
        if (may_take(it, far) && (best == nullptr || is_better(it, *best)))
            best = &it;
    if (best == nullptr)
        return std::nullopt;
    --best->free;
    return best->entry;
}

bool peer_slots::has_free(bool far) const {
    return std::ranges::any_of(peers_,
                               [&](const auto& entry) { return may_take(entry.second, far); });
}

void peer_slots::give_back(const node_id& node) {
    const auto found = peers_.find(node);
    if (found != peers_.end())
        ++found->second.free;
}

bool peer_slots::has_near_peer() const {
    return std::ranges::any_of(peers_, [this](const auto& entry) {
        return entry.second.entry.data_centre == own_ &&
               entry.second.entry.state == member_state::live;
    });
}

} // namespace figwinch
