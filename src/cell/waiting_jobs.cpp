#include "cell/waiting_jobs.h"

#include "cell/job_state.h"

namespace figwinch {
namespace {

template <class Order>
void move_in(waiting_jobs::queue<Order>& queue, const std::optional<Order>& from,
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
    move_in(batch_, old.batch, wanted.batch, job);
    move_in(services_, old.services, wanted.services, job);
    move_in(by_wait_, old.waits, wanted.waits, job);
    move_in(idle_, old.idle, wanted.idle, job);
    move_in(estimates_, old.estimate, wanted.estimate, job);
    job.positions = wanted;
}

} // namespace figwinch
