#pragma once

#include <cstdint>
#include <string_view>

namespace figwinch {

/// A 64-bit hash that is the same in every process and build (XXH3), for decisions that several
/// processes have to make alike.
std::uint64_t stable_hash(std::string_view text);

/// Weight of `node` for `key` in rendezvous hashing: every process picks the node with the highest
/// weight, so that a node that comes or goes moves only its own keys.
std::uint64_t rendezvous_weight(std::string_view node, std::string_view key);

} // namespace figwinch
