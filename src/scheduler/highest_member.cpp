#include "scheduler/highest_member.h"

#include <algorithm>

namespace figwinch {

const member* highest_member(const std::vector<const member*>& members, const std::string& key) {
    const auto best = std::ranges::max_element(
        members, {}, [&key](const member* one) { return rendezvous_weight(one->node.str(), key); });
    return best == members.end() ? nullptr : *best;
}

} // namespace figwinch
