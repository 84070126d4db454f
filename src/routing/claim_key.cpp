#include "figwinch/routing/claim_key.h"

#include "figwinch/base/stable_hash.h"

#include <string>

namespace figwinch {

claim_key claim_key::of(const customer_id& customer, const request_id& request) {
    // The length keeps ("ab", "c") and ("a", "bc") apart.
    std::string text = std::to_string(customer.str().size());
    text += ':';
    text += customer.str();
    text += request.str();
    const std::uint64_t high = stable_hash(text);
    text += '#';
    return {high, stable_hash(text)};
}

} // namespace figwinch
