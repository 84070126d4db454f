#pragma once

#include "figwinch/cell/worker_listing.h"

#include <absl/container/flat_hash_set.h>

#include <cstddef>
#include <deque>
#include <optional>

namespace figwinch {

/// Admits workers whose lists of ended runs take several reports, first come, first served. Each
/// report brings hundreds of ends that have to be recorded: without a limit, the backlog of all
/// workers after an outage of the log would delay every other record. An admitted worker stays
/// admitted until its list has been read to the end. Owned by the coordinator.
class ended_page_queue {
public:
    /// `max_admitted`: number of workers whose lists are read at the same time.
    explicit ended_page_queue(std::size_t max_admitted) : max_admitted_(max_admitted) {}

    /// Returns whether the worker's report may be processed now. If not, the worker waits its turn.
    bool admit(const worker_id& worker);
    /// Removes a worker whose list has been read, or which is lost. Returns the worker that is
    /// admitted in its place, if any.
    std::optional<worker_id> remove(const worker_id& worker);
    std::size_t waiting() const { return waiting_.size(); }

private:
    std::size_t max_admitted_;
    absl::flat_hash_set<worker_id> admitted_;
    std::deque<worker_id> waiting_;
};

} // namespace figwinch
