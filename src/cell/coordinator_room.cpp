#include "cell/cell_coordinator.h"

#include <queue>

namespace figwinch {

/// Leaves room to lasting tasks that ran and have no run. Many short tasks make many small holes,
/// each of which the next short task takes: a lasting task that needs more would wait as long as
/// they keep coming, also one that may not start yet because its worker is in doubt. Where room is
/// kept short tasks run out, and within seconds it is there.
void cell_coordinator::keep_room() {
    for (const auto& [id, worker] : workers_)
        worker->kept = {};
    const std::vector<const task_work*> waiting = lasting_without_run();
    if (waiting.empty())
        return;
    // Workers by what is free on them, as far as lasting tasks leave enough.
    std::priority_queue<std::pair<std::int64_t, worker_work*>> by_room;
    for (const auto& [id, worker] : workers_)
        if (takes_starts(*worker))
            by_room.emplace(worker->listing.capacity.cpu_millis - worker->taken.cpu_millis,
                            worker.get());
    for (const task_work* const task : waiting) {
        const resources& size = task->step->spec->size;
        while (!by_room.empty()) {
            const auto [room, worker] = by_room.top();
            by_room.pop();
            const resources& capacity = worker->listing.capacity;
            const std::int64_t for_lasting = capacity.cpu_millis - worker->lasting_cpu;
            if (for_lasting - worker->kept.cpu_millis < size.cpu_millis ||
                capacity.memory_mib - worker->kept.memory_mib < size.memory_mib ||
                !usable(*worker, *task->job))
                continue;
            worker->kept += size;
            by_room.emplace(room - size.cpu_millis, worker);
            break;
        }
    }
}

std::vector<const task_work*> cell_coordinator::lasting_without_run() const {
    std::vector<const task_work*> waiting;
    for (const job_work* const job : order_)
        for (const auto& [number, occurrence] : job->occurrences)
            for (const step_work& step : occurrence->steps) {
                if (!step.spec->is_service || step.spec->is_best_effort || !step.ready ||
                    step.placed >= step.left)
                    continue;
                for (const task_work& task : step.tasks)
                    if (task.where == nullptr && !task.progress.done &&
                        !task.progress.assigned_worker.empty())
                        waiting.push_back(&task);
            }
    return waiting;
}

} // namespace figwinch
