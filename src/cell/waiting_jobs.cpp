#include "cell/waiting_jobs.h"

#include "cell/job_state.h"

namespace figwinch {
namespace {

template <class Order>
void update_position(waiting_jobs::queue<Order>& queue, const std::optional<Order>& from,
                     const std::optional<Order>& to, job_state& job) {
    if (from == to)
        return;
    if (from)
        queue.erase(*from);
    if (to)
        queue.emplace(*to, &job);
}

} // namespace

void waiting_jobs::move(job_state& job, const queue_positions& wanted) {
    const queue_positions& old = job.positions;
    update_position(batch_, old.batch, wanted.batch, job);
    update_position(services_, old.services, wanted.services, job);
    update_position(by_wait_, old.waits, wanted.waits, job);
    update_position(idle_, old.idle, wanted.idle, job);
    update_position(estimates_, old.estimate, wanted.estimate, job);
    job.positions = wanted;
}

} // namespace figwinch
