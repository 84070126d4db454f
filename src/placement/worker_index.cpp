#include "figwinch/placement/worker_index.h"

#include <algorithm>

namespace figwinch {
namespace {

/// Limits on one search: workers that can hold the task and are scored, and workers examined in
/// all. They keep a placement decision within microseconds however many workers the index holds.
constexpr int max_scored = 24;
constexpr int max_visited = 512;

double free_share(std::int64_t available, std::int64_t size, std::int64_t capacity) {
    if (capacity == 0)
        return 0;
    return static_cast<double>(available - size) / static_cast<double>(capacity);
}

/// Weighted mean share of the worker that stays free once the task is placed. Accelerators count
/// double, since they are scarce.
double free_share_after(const placement_worker& worker, const resources& size) {
    const double cpu =
        free_share(worker.free_resources.cpu_millis, size.cpu_millis, worker.capacity.cpu_millis);
    const double memory =
        free_share(worker.free_resources.memory_mib, size.memory_mib, worker.capacity.memory_mib);
    const double accelerators = free_share(worker.free_resources.accelerators, size.accelerators,
                                           worker.capacity.accelerators);
    return (cpu + memory + 2 * accelerators) / 4;
}

} // namespace

void worker_index::put(const placement_worker& worker) {
    const auto [entry, inserted] = workers_.try_emplace(worker.worker, worker);
    if (!inserted) {
        by_free_cpu_.erase({entry->second.free_resources.cpu_millis, worker.worker});
        entry->second = worker;
    }
    by_free_cpu_.insert({worker.free_resources.cpu_millis, worker.worker});
}

void worker_index::remove(const worker_id& worker) {
    const auto entry = workers_.find(worker);
    if (entry == workers_.end())
        return;
    by_free_cpu_.erase({entry->second.free_resources.cpu_millis, worker});
    workers_.erase(entry);
}

resources worker_index::largest_room() const {
    return by_free_cpu_.empty() ? resources{}
                                : workers_.at(by_free_cpu_.rbegin()->second).free_resources;
}

const placement_worker* worker_index::find(const worker_id& worker) const {
    const auto entry = workers_.find(worker);
    return entry == workers_.end() ? nullptr : &entry->second;
}

std::optional<worker_id> worker_index::best_fit(const resources& size,
                                                const cost_function& cost) const {
    std::optional<worker_id> best;
    double best_cost = 0;
    int scored = 0;
    int visited = 0;
    for (auto entry = by_free_cpu_.lower_bound({size.cpu_millis, worker_id{}});
         entry != by_free_cpu_.end() && scored < max_scored && visited < max_visited;
         ++entry, ++visited) {
        const placement_worker& worker = workers_.at(entry->second);
        if (!fits(size, worker.free_resources))
            continue;
        const std::optional<double> extra = cost(worker);
        if (!extra)
            continue;
        ++scored;
        const double total = free_share_after(worker, size) + *extra;
        if (!best || total < best_cost) {
            best = worker.worker;
            best_cost = total;
        }
    }
    return best;
}

} // namespace figwinch
