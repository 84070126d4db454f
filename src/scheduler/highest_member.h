#pragma once

#include "figwinch/membership.h"

#include <string>
#include <vector>

namespace figwinch {

/// The member with the highest rendezvous weight for `key`; null when there is none.
const member* highest_member(const std::vector<const member*>& members, const std::string& key);

} // namespace figwinch
