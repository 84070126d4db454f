#include "figwinch/jobs/takeover_fence.h"

namespace figwinch {

takeover_fence::takeover_fence(incarnation_id previous, log_offset record, instant folded_at,
                               duration unreachable_after, std::set<worker_id> workers,
                               std::vector<job_key> jobs)
    : previous_(std::move(previous)), record_(record), folded_at_(folded_at),
      unreachable_after_(unreachable_after), open_(std::move(workers)), jobs_(std::move(jobs)) {}

void takeover_fence::note_quiet(const worker_id& worker, instant now) {
    if (now >= folded_at_ + unreachable_after_)
        open_.erase(worker);
}

} // namespace figwinch
