#pragma once

#include "figwinch/base.h"
#include "figwinch/cell/worker_listing.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figwinch {

/// A coordinator asks the holder of the reign before its own to end that reign, which the holder
/// may not have learned from the log yet.
struct step_down_request {
    /// The life of the process that is asked, and the epoch of its reign.
    incarnation_id holder;
    lease_epoch epoch;
    /// Of the reign that follows.
    lease_epoch successor;
};

/// A worker on which a reign may have left runs.
struct held_worker {
    worker_id id;
    /// All that the reign ordered there is over by then, by the slowest clock; nothing: unknown.
    std::optional<duration> left;
};

/// What a reign that ends leaves behind. Its holder orders nothing after that.
struct outstanding_orders {
    std::vector<held_worker> held;
    /// Lasting tasks, by name, of which no run of this reign or an earlier one can be anywhere.
    std::vector<std::string> not_ordered;
};

std::string encode_step_down_request(const step_down_request& request);
/// Nothing on bytes that aren't one.
std::optional<step_down_request> decode_step_down_request(std::string_view bytes);

/// Nothing: the host asked doesn't hold that reign, or hasn't coordinated in it.
std::string encode_outstanding(const std::optional<outstanding_orders>& orders);
std::optional<outstanding_orders> decode_outstanding(std::string_view bytes);

} // namespace figwinch
