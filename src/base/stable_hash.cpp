#include "figwinch/base/stable_hash.h"

#include <xxhash.h>

namespace figwinch {

std::uint64_t stable_hash(std::string_view text) {
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t rendezvous_weight(std::string_view node, std::string_view key) {
    return XXH3_64bits_withSeed(key.data(), key.size(), stable_hash(node));
}

} // namespace figwinch
