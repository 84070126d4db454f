#pragma once

#include "figwinch/base.h"

#include <cstddef>

namespace figwinch {

/// Number of payloads that both ends of a relay session cache; both evict the oldest first. Takes 2
/// MiB with payloads of the largest size.
inline constexpr std::size_t max_cached_payloads = 512;

/// How long a start order may wait unsent on a relay before it is dropped. This and the delivery to
/// the relay together must fit into `order_delivery_time`.
inline constexpr duration max_unsent_time = std::chrono::milliseconds(300);

} // namespace figwinch
