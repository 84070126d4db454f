#pragma once

#include "figwinch/base.h"
#include "figwinch/cell/worker_listing.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figwinch {

/// Asks the coordinator of the previous leadership term to step down. It may not have learned from
/// the log yet that it was superseded.
struct step_down_request {
    /// The incarnation of the process that is asked, and the epoch of its term.
    incarnation_id holder;
    lease_epoch epoch;
    /// Epoch of the leadership term that follows.
    lease_epoch successor;
};

/// A worker on which runs of an ended leadership term may exist.
struct unresolved_worker {
    worker_id id;
    /// Time until all leases and start orders of the term have expired on this worker, even by the
    /// slowest clock; nothing: unknown.
    std::optional<duration> expires_in;
};

/// What a leadership term leaves behind when it ends. Its coordinator sends no orders after that.
struct outstanding_orders {
    std::vector<unresolved_worker> unresolved_workers;
    /// Names of service tasks that cannot have a run from this term or an earlier one on any
    /// worker.
    std::vector<std::string> not_ordered;
};

std::string encode_step_down_request(const step_down_request& request);
/// Decodes a step-down request; returns nothing if the bytes are not a valid one.
std::optional<step_down_request> decode_step_down_request(std::string_view bytes);

/// Encodes the answer to a step-down request. `orders` is nothing if the host that was asked does
/// not hold that leadership term, or has not coordinated in it.
std::string encode_outstanding(const std::optional<outstanding_orders>& orders);
std::optional<outstanding_orders> decode_outstanding(std::string_view bytes);

/// Returns one row for each worker. The time of a worker with several rows is the longest of them,
/// or unknown if that of one is.
std::vector<unresolved_worker> merge_by_worker(const std::vector<unresolved_worker>& workers);

/// Like `encode_outstanding`, but in at most `max_bytes`: workers and tasks that don't fit are left
/// out. For these a successor waits as if there were no account of them.
std::string encode_outstanding_within(const outstanding_orders& orders, std::size_t max_bytes);

} // namespace figwinch
