#pragma once

#include "figwinch/base.h"

#include <cstddef>

namespace figwinch {

/// Payloads that both ends of a session remember; the oldest goes first on both. With the largest
/// ones 2 MiB.
inline constexpr std::size_t most_payloads = 512;

/// How long an order to start may wait unsent on the host that passes it on: with the way to that
/// host a part of `order_delivery_time`.
inline constexpr duration longest_unsent = std::chrono::milliseconds(300);

} // namespace figwinch
