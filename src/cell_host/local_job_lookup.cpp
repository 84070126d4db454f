#include "cell_host/local_job_lookup.h"

#include <algorithm>
#include <utility>

namespace figwinch {

const job_entry* local_job_lookup::known(const job_id& id) const {
    const job_entry* const job = state_.find(id);
    return job != nullptr && job->spec ? job : nullptr;
}

void local_job_lookup::find(const job_id& id, instant end, job_handler done) {
    if (const job_entry* const job = known(id))
        return done({job_answer::kind::found, *job});
    const auto asked = std::make_shared<pending_lookup>(pending_lookup{id, std::move(done), end});
    pending_.push_back(asked);
    sync_([this, asked](bool current) { complete(*asked, current); });
}

void local_job_lookup::complete(pending_lookup& asked, bool current) const {
    if (std::exchange(asked.completed, true))
        return;
    if (const job_entry* const job = known(asked.id))
        return asked.done({job_answer::kind::found, *job});
    asked.done({current ? job_answer::kind::unknown : job_answer::kind::undetermined, {}});
}

void local_job_lookup::count_waiting(const queue_name& queue, instant, waiting_handler done) {
    done(state_.waiting_jobs(queue));
}

void local_job_lookup::tick() {
    const instant now = time_.now();
    for (const auto& asked : std::vector(pending_))
        if (now >= asked->end)
            complete(*asked, false);
    std::erase_if(pending_, [](const auto& asked) { return asked->completed; });
}

void local_job_lookup::cap_deadlines(instant latest) {
    for (const auto& asked : pending_)
        asked->end = std::min(asked->end, latest);
}

} // namespace figwinch
