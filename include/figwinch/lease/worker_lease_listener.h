#pragma once

#include "figwinch/base.h"
#include "figwinch/lease/leased_worker.h"
#include "worker.pb.h"

namespace figwinch {

/// What a lease table tells its owner. Calls come from inside `worker_lease_table`, after its own
/// state has changed; they must not call back into it.
class worker_lease_listener {
public:
    virtual ~worker_lease_listener() = default;
    virtual void on_held(const leased_worker& worker) = 0;
    /// The worker's lists, asked for at `sent_at`, have been taken in; calls about single tasks
    /// came before.
    virtual void on_listed(const leased_worker& worker, instant sent_at) = 0;
    virtual void on_lost(const leased_worker& worker) = 0;
    /// A running attempt that this scheduler did not start under its present lease.
    virtual void on_found(const leased_worker& worker, const task_id& task,
                          const held_task& attempt) = 0;
    /// The worker reports an end; repeated until it is acknowledged.
    virtual void on_ended(const leased_worker& worker, const pb::EndedTask& report) = 0;
    /// The attempt is over and the worker will never report how.
    virtual void on_gone(const leased_worker& worker, const task_id& task,
                         attempt_number attempt) = 0;
    /// Room of a held worker changed.
    virtual void on_room(const leased_worker& worker) = 0;
    /// Whether the end is in the log, so that the worker may forget it.
    virtual bool may_acknowledge(const pb::EndedTask& report) const = 0;
};

} // namespace figwinch
