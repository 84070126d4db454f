#pragma once

#include "figwinch/base.h"

#include <functional>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace figwinch {

/// A worker that takes tasks, as placement sees it.
struct worker_room {
    worker_id worker;
    rack_id rack;
    std::string host;
    resources capacity;
    resources room;
};

/// Finds the worker that a task fits best. Owned by a scheduler; holds only the workers that the
/// scheduler may start on, so that a decision doesn't grow with the workers of others.
class worker_index {
public:
    /// Extra cost of a worker for the task at hand, in fractions of a worker; below zero is better.
    /// Empty: the worker must not take the task.
    using cost_function = std::function<std::optional<double>(const worker_room&)>;

    void put(const worker_room& worker);
    void remove(const worker_id& worker);
    /// The cheapest of the workers with the least free processors that hold `size`; nothing when
    /// none has room. Looks at a bounded number of workers.
    std::optional<worker_id> best_fit(const resources& size, const cost_function& cost) const;
    /// Room of the worker with the most free processors; zero when there is no worker.
    resources largest_room() const;
    const worker_room* find(const worker_id& worker) const;
    std::size_t size() const { return workers_.size(); }
    const std::unordered_map<worker_id, worker_room>& workers() const { return workers_; }

private:
    std::unordered_map<worker_id, worker_room> workers_;
    /// By free processors, least first.
    std::set<std::pair<std::int64_t, worker_id>> by_room_;
};

} // namespace figwinch
