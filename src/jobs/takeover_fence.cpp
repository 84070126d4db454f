#include "figwinch/jobs/takeover_fence.h"

namespace figwinch {

takeover_fence::takeover_fence(incarnation_id previous_owner, log_offset record, instant applied_at,
                               duration unreachable_after, std::set<worker_id> workers,
                               std::vector<job_key> jobs)
    : previous_owner_(std::move(previous_owner)), record_(record), applied_at_(applied_at),
      unreachable_after_(unreachable_after), unfenced_workers_(std::move(workers)),
      jobs_(std::move(jobs)) {}

void takeover_fence::on_unreachable(const worker_id& worker, instant now) {
    if (now >= applied_at_ + unreachable_after_)
        unfenced_workers_.erase(worker);
}

} // namespace figwinch
