#include "cell/cell_coordinator.h"

#include <queue>
#include <tuple>

namespace figwinch {

/// Reserves resources for service tasks that ran before and have no run. Many batch tasks leave
/// many small gaps, each of which the next batch task takes, so that a service task which needs
/// more would wait as long as they keep coming; so would one that may not start yet because its
/// earlier run may still exist. On workers with a reservation the batch tasks finish without
/// replacement, which frees the resources within seconds.
void cell_coordinator::update_reservations() {
    for (const auto& [id, worker] : workers_)
        worker->reserved = {};
    const std::vector<const task_state*> waiting = service_tasks_without_run();
    if (waiting.empty())
        return;
    // Workers by free CPU, equals in the order of ids, since that of addresses varies between
    // processes. Those whose service tasks leave too little are skipped below.
    std::priority_queue<std::tuple<std::int64_t, std::size_t, worker_state*>> by_room;
    std::size_t rank = workers_.size();
    for (const auto& [id, worker] : workers_) {
        --rank;
        if (accepts_starts(*worker))
            by_room.emplace(worker->listing.capacity.cpu_millis - worker->allocated.cpu_millis,
                            rank, worker.get());
    }
    for (const task_state* const task : waiting) {
        const resources& size = task->step->spec->size;
        while (!by_room.empty()) {
            const auto [room, place, worker] = by_room.top();
            by_room.pop();
            const resources& capacity = worker->listing.capacity;
            const std::int64_t for_lasting = capacity.cpu_millis - worker->service_cpu;
            if (for_lasting - worker->reserved.cpu_millis < size.cpu_millis ||
                capacity.memory_mib - worker->reserved.memory_mib < size.memory_mib ||
                !is_usable(*worker, *task->job))
                continue;
            worker->reserved += size;
            by_room.emplace(room - size.cpu_millis, place, worker);
            break;
        }
    }
}

std::vector<const task_state*> cell_coordinator::service_tasks_without_run() const {
    std::vector<const task_state*> waiting;
    for (const auto& [order, job] : queues_.services())
        for (const auto& [number, occurrence] : job->occurrences)
            for (const step_state& step : occurrence->steps) {
                if (!step.spec->is_service || step.spec->is_best_effort || !step.ready ||
                    step.assigned >= step.unfinished)
                    continue;
                for (const task_state& task : step.tasks)
                    if (task.assigned_worker == nullptr && !task.progress.done &&
                        !task.progress.assigned_worker.empty())
                        waiting.push_back(&task);
            }
    return waiting;
}

} // namespace figwinch
