#include "cell/cell_coordinator.h"

namespace figwinch {

/// Leaves room to lasting tasks that ran and have no run. Many short tasks make many small holes,
/// each of which the next short task takes: a lasting task that needs more would wait as long as
/// they keep coming, also one that may not start yet because its worker is in doubt. Where room is
/// kept short tasks run out, and within seconds it is there.
void cell_coordinator::keep_room() {
    for (const auto& [id, worker] : workers_)
        worker->kept = {};
    for (const job_work* const job : order_)
        for (const auto& [number, occurrence] : job->occurrences)
            for (const step_work& step : occurrence->steps)
                if (step.spec->lasting && !step.spec->filling && step.ready &&
                    step.placed < step.left)
                    keep_room_for(step);
}

/// For each task of a step that has no run, on the worker that has most room of those on which
/// lasting tasks leave enough.
void cell_coordinator::keep_room_for(const step_work& step) {
    const resources& size = step.spec->size;
    for (const task_work& task : step.tasks) {
        if (task.where != nullptr || task.progress.done || task.progress.ordered_to.empty())
            continue;
        worker_work* best = nullptr;
        std::int64_t best_room = 0;
        for (const auto& [id, worker] : workers_) {
            const resources& capacity = worker->listing.capacity;
            const std::int64_t for_lasting = capacity.cpu_millis - worker->lasting_cpu;
            if (for_lasting - worker->kept.cpu_millis < size.cpu_millis ||
                capacity.memory_mib - worker->kept.memory_mib < size.memory_mib ||
                !usable(*worker, *task.job))
                continue;
            const std::int64_t room =
                capacity.cpu_millis - worker->taken.cpu_millis - worker->kept.cpu_millis;
            if (best == nullptr || room > best_room) {
                best = worker.get();
                best_room = room;
            }
        }
        if (best == nullptr)
            return;
        best->kept += size;
    }
}

} // namespace figwinch
