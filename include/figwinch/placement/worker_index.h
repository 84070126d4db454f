#pragma once

#include "figwinch/base.h"

#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace figwinch {

/// A worker that accepts tasks, with its total capacity and its free resources.
struct placement_worker {
    worker_id worker;
    rack_id rack;
    std::string host;
    resources capacity;
    resources free_resources;
};

/// Finds the worker that fits a task best. Owned by a scheduler, and holds only the workers on
/// which that scheduler may start tasks, so that the cost of a placement decision doesn't grow with
/// the workers of other schedulers.
class worker_index {
public:
    /// Returns a cost to add to the score of a worker for the current task, in fractions of the
    /// worker's capacity; a negative cost makes the worker preferred. `std::nullopt` excludes the
    /// worker.
    using cost_function = std::function<std::optional<double>(const placement_worker&)>;

    void put(const placement_worker& worker);
    void remove(const worker_id& worker);
    /// Returns the worker with the lowest total cost (the mean share that stays free, plus `cost`).
    /// Searches workers in ascending order of free CPU and stops after a bounded number. Returns
    /// `std::nullopt` if each worker searched is too small for `size` or excluded by `cost`.
    std::optional<worker_id> best_fit(const resources& size, const cost_function& cost) const;
    /// Free resources of the worker with the most free CPU; zero if the index is empty.
    resources largest_room() const;
    const placement_worker* find(const worker_id& worker) const;
    std::size_t size() const { return workers_.size(); }
    const std::unordered_map<worker_id, placement_worker>& workers() const { return workers_; }

private:
    std::unordered_map<worker_id, placement_worker> workers_;
    /// Workers in ascending order of free CPU.
    std::set<std::pair<std::int64_t, worker_id>> by_free_cpu_;
};

} // namespace figwinch
