#include "entry/peer_slots.h"

#include <algorithm>

namespace figwinch {

void peer_slots::note(const member& entry, const peer_load& load) {
    peers_[entry.node] = {entry, load};
}

bool peer_slots::may_use(const lender& it, bool far) const {
    if (it.load.slots == 0 || it.entry.state != member_state::live)
        return false;
    return far || it.entry.data_centre == own_;
}

std::optional<member> peer_slots::take(bool far) {
    const auto is_better = [this](const lender& one, const lender& other) {
        const bool near = one.entry.data_centre == own_;
        const bool other_near = other.entry.data_centre == own_;
        return near != other_near ? near : one.load.free_slots > other.load.free_slots;
    };
    lender* best = nullptr;
    for (auto& [node, it] : peers_) {
        const bool lends = may_use(it, far) && it.load.free_slots > 0;
        if (lends && (best == nullptr || is_better(it, *best)))
            best = &it;
    }
    if (best == nullptr)
        return std::nullopt;
    --best->load.free_slots;
    return best->entry;
}

bool peer_slots::has_free(bool far) const {
    return std::ranges::any_of(peers_, [&](const auto& entry) {
        return may_use(entry.second, far) && entry.second.load.free_slots > 0;
    });
}

void peer_slots::give_back(const node_id& node) {
    const auto found = peers_.find(node);
    if (found != peers_.end())
        ++found->second.load.free_slots;
}

std::optional<member> peer_slots::shorter_queue(double own, bool far) {
    lender* best = nullptr;
    double shortest = own;
    for (auto& [node, it] : peers_) {
        if (!may_use(it, far))
            continue;
        const double length = (it.load.queued + 1.0) / it.load.slots;
        if (length >= shortest)
            continue;
        shortest = length;
        best = &it;
    }
    if (best == nullptr)
        return std::nullopt;
    ++best->load.queued;
    return best->entry;
}

bool peer_slots::has_near_slots() const {
    return std::ranges::any_of(peers_,
                               [this](const auto& entry) { return may_use(entry.second, false); });
}

} // namespace figwinch
