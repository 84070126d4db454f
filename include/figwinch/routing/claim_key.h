#pragma once

#include "figwinch/base/ids.h"

#include <cstdint>

namespace figwinch {

/// Customer and request id in 16 bytes, the same in every process. Two requests that collide are
/// taken for one: the second is refused, never run twice.
struct claim_key {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    static claim_key of(const customer_id& customer, const request_id& request);

    friend bool operator==(const claim_key&, const claim_key&) = default;
    template <class Hash>
    friend Hash AbslHashValue(Hash state, const claim_key& key) {
        return Hash::combine(std::move(state), key.high, key.low);
    }
};

} // namespace figwinch
