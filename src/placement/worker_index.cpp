#include "figwinch/placement/worker_index.h"

#include <algorithm>

namespace figwinch {
namespace {

/// Limits on one search: workers that can hold the task and are scored, and workers examined in
/// all. They keep a placement decision within microseconds however many workers the index holds.
constexpr int max_compared = 24;
constexpr int max_visited = 512;

double share_left(std::int64_t room, std::int64_t size, std::int64_t capacity) {
    if (capacity == 0)
        return 0;
    return static_cast<double>(room - size) / static_cast<double>(capacity);
}

/// Weighted mean share of the worker that stays free once the task is placed. Accelerators count
/// double, since they are scarce.
double left_over(const worker_room& worker, const resources& size) {
    const double cpu =
        share_left(worker.room.cpu_millis, size.cpu_millis, worker.capacity.cpu_millis);
    const double memory =
        share_left(worker.room.memory_mib, size.memory_mib, worker.capacity.memory_mib);
    const double accelerators =
        share_left(worker.room.accelerators, size.accelerators, worker.capacity.accelerators);
    return (cpu + memory + 2 * accelerators) / 4;
}

} // namespace

void worker_index::put(const worker_room& worker) {
    const auto [place, inserted] = workers_.try_emplace(worker.worker, worker);
    if (!inserted) {
        by_room_.erase({place->second.room.cpu_millis, worker.worker});
        place->second = worker;
    }
    by_room_.insert({worker.room.cpu_millis, worker.worker});
}

void worker_index::remove(const worker_id& worker) {
    const auto place = workers_.find(worker);
    if (place == workers_.end())
        return;
    by_room_.erase({place->second.room.cpu_millis, worker});
    workers_.erase(place);
}

resources worker_index::largest_room() const {
    return by_room_.empty() ? resources{} : workers_.at(by_room_.rbegin()->second).room;
}

const worker_room* worker_index::find(const worker_id& worker) const {
    const auto place = workers_.find(worker);
    return place == workers_.end() ? nullptr : &place->second;
}

std::optional<worker_id> worker_index::best_fit(const resources& size,
                                                const cost_function& cost) const {
    std::optional<worker_id> best;
    double best_cost = 0;
    int compared = 0;
    int visited = 0;
    for (auto place = by_room_.lower_bound({size.cpu_millis, worker_id{}});
         place != by_room_.end() && compared < max_compared && visited < max_visited;
         ++place, ++visited) {
        const worker_room& worker = workers_.at(place->second);
        if (!fits(size, worker.room))
            continue;
        const std::optional<double> extra = cost(worker);
        if (!extra)
            continue;
        ++compared;
        const double total = left_over(worker, size) + *extra;
        if (!best || total < best_cost) {
            best = worker.worker;
            best_cost = total;
        }
    }
    return best;
}

} // namespace figwinch
