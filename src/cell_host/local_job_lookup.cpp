#include "cell_host/local_job_lookup.h"

#include <algorithm>
#include <utility>

namespace figwinch {
namespace {

constexpr duration max_count_age = std::chrono::seconds(2);

} // namespace

const job_entry* local_job_lookup::known(const job_id& id) const {
    const job_entry* const job = state_.find(id);
    return job != nullptr && job->spec ? job : nullptr;
}

bool local_job_lookup::counts_all() const {
    return intake_.is_loaded() && time_.now() - intake_.current_as_of() <= max_count_age;
}

void local_job_lookup::find(const job_id& id, instant end, job_handler done) {
    if (const job_entry* const job = known(id))
        return done({job_answer::kind::found, *job});
    sync(end, [this, id, done = std::move(done)](bool current) {
        if (const job_entry* const job = known(id))
            return done({job_answer::kind::found, *job});
        done({current ? job_answer::kind::unknown : job_answer::kind::undetermined, {}});
    });
}

void local_job_lookup::count_waiting(const queue_name& queue, instant end, waiting_handler done) {
    if (counts_all())
        return done(state_.waiting_jobs(queue));
    sync(end, [this, queue, done = std::move(done)](bool current) {
        if (!current)
            return done(std::nullopt);
        done(state_.waiting_jobs(queue));
    });
}

void local_job_lookup::sync(instant end, std::function<void(bool)> done) {
    const auto asked = std::make_shared<pending_lookup>(pending_lookup{std::move(done), end});
    pending_.push_back(asked);
    intake_.sync([asked](bool current) { complete(*asked, current); });
}

void local_job_lookup::complete(pending_lookup& asked, bool current) {
    if (!std::exchange(asked.completed, true))
        asked.done(current);
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
