#include "cell_host/local_jobs.h"

#include <algorithm>
#include <utility>

namespace figwinch {

const job_entry* local_jobs::known(const job_id& id) const {
    const job_entry* const job = state_.find(id);
    return job != nullptr && job->spec ? job : nullptr;
}

void local_jobs::find(const job_id& id, instant end, job_handler done) {
    if (const job_entry* const job = known(id))
        return done({job_answer::kind::found, *job});
    const auto asked = std::make_shared<question>(question{id, std::move(done), end});
    questions_.push_back(asked);
    sync_([this, asked](bool current) { settle(*asked, current); });
}

void local_jobs::settle(question& asked, bool current) const {
    if (std::exchange(asked.settled, true))
        return;
    if (const job_entry* const job = known(asked.id))
        return asked.done({job_answer::kind::found, *job});
    asked.done({current ? job_answer::kind::unknown : job_answer::kind::cant_tell, {}});
}

void local_jobs::count_waiting(const queue_name& queue, instant, waiting_handler done) {
    done(state_.waiting_jobs(queue));
}

void local_jobs::tick() {
    const instant now = time_.now();
    for (const auto& asked : std::vector(questions_))
        if (now >= asked->end)
            settle(*asked, false);
    std::erase_if(questions_, [](const auto& asked) { return asked->settled; });
}

void local_jobs::end_by(instant latest) {
    for (const auto& asked : questions_)
        asked->end = std::min(asked->end, latest);
}

} // namespace figwinch
