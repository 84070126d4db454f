#pragma once

#include "figwinch/base.h"
#include "figwinch/lease/lease_settings.h"
#include "figwinch/lease/leased_worker.h"
#include "figwinch/lease/worker_command.h"
#include "figwinch/lease/worker_lease_listener.h"

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace figwinch {

/// The leases on workers of one data centre as one scheduler sees them. Owned by a scheduler.
///
/// Guards against over-commitment and against commands of a holder that has been replaced:
/// - nothing is started unless the lease, counted from when its last renewal was sent, has more
/// than
///   the safety margin left; a process that was frozen finds the lease expired when it wakes;
/// - a start counts against the worker's room from before it is sent until its attempt is known to
/// be
///   over, also when its answer is lost;
/// - an attempt is known to be over when the worker reports it, when a lease with a later epoch
///   shows a list without it (starts under the older epoch are refused from then on), or when the
///   worker has been sent nothing for a whole task lease plus drift.
class worker_lease_table {
public:
    worker_lease_table(const lease_settings& with, node_id node, incarnation_id self,
                       worker_lease_listener& listener);

    /// All workers of the data centre that the manifest declares.
    void set_workers(const std::vector<worker_spec>& workers, instant now);
    /// The live schedulers of the data centre, without those that are leaving. Rendezvous hashing
    /// over them decides who tries to hold a worker.
    void set_schedulers(const std::vector<node_id>& live, instant now);
    /// Whether leases may be renewed; off when the process can't rule out that it was taken over.
    void allow_renewal(bool allowed) { renewal_allowed_ = allowed; }
    /// Whether starts may be sent, those of unanswered ones again included. To be judged right
    /// before `due`, since a start that waits may have become forbidden meanwhile.
    void allow_starts(bool allowed) { starts_allowed_ = allowed; }
    /// Gives every lease back as soon as no command is in flight, and takes none any more.
    void release_all(instant now);

    bool may_start(const worker_id& worker, instant now) const;
    /// Whether the lease is surely valid at `now`, by the holder's own count.
    bool is_held(const worker_id& worker, instant now) const;
    /// Whether nothing has been sent to a worker that doesn't answer for a whole lapse.
    bool is_quiet(const worker_id& worker, instant now) const;
    /// Whether this scheduler has sent the worker nothing for a whole lapse.
    bool untouched_for_lapse(const worker_id& worker, instant now) const;

    /// Commits room and queues the start. Needs `may_start` and room.
    void start(const worker_id& worker, const pb::StartTask& what, instant now);
    /// Stops an attempt of a held worker; a start that is not answered yet is revoked.
    void stop(const worker_id& worker, const task_id& task, bool checkpoint, instant now);
    void throttle(const worker_id& worker, const task_id& task, int percent, instant now);

    /// Asks every held worker for its lists at once.
    void renew_all(instant now);
    /// The reported ends that the worker still keeps.
    const std::vector<pb::EndedTask>& ends_on(const worker_id& worker) const;

    /// The commands to send now; each counts as sent.
    std::vector<worker_command> due(instant now);
    void on_reply(std::uint64_t token, const pb::WorkerReply& reply, instant now);
    void on_no_reply(std::uint64_t token, instant now);

    const std::map<worker_id, leased_worker>& workers() const { return workers_; }
    const leased_worker* find(const worker_id& worker) const;
    std::size_t held() const;
    std::size_t in_flight() const { return sent_.size(); }

private:
    struct sent_command {
        worker_id worker;
        pb::WorkerCommand::BodyCase kind = pb::WorkerCommand::BODY_NOT_SET;
        task_id task;
        attempt_number attempt;
        lease_epoch epoch;
        instant sent_at{};
        std::uint64_t serial = 0;
    };

    void collect(leased_worker& worker, std::vector<worker_command>& out, instant now);
    void forgive_own_pause(instant now);
    void watch_silence(leased_worker& worker, instant now);
    void send_lease(leased_worker& worker, std::vector<worker_command>& out, instant now);
    void send_tasks(leased_worker& worker, std::vector<worker_command>& out, instant now);
    pb::WorkerCommand& send(leased_worker& worker, sent_command what,
                            std::vector<worker_command>& out, instant now);
    void on_lease_reply(leased_worker& worker, const sent_command& sent,
                        const pb::WorkerReply& reply, instant now);
    void on_task_reply(leased_worker& worker, const sent_command& sent,
                       const pb::WorkerReply& reply, instant now);
    void take_lists(leased_worker& worker, const sent_command& sent, const pb::WorkerReply& reply,
                    bool newer_epoch);
    bool take_ended(leased_worker& worker, const pb::EndedTask& report);
    void take_running(leased_worker& worker, const pb::RunningTask& report);
    void drop_missing(leased_worker& worker, const sent_command& sent, const pb::WorkerReply& reply,
                      bool newer_epoch);
    void drop(leased_worker& worker, const task_id& task);
    void lose(leased_worker& worker, instant now);
    void forget_lapsed(leased_worker& worker);
    static void revoke_starts(leased_worker& worker, instant now);
    bool wants_release(const leased_worker& worker, instant now) const;
    bool is_idle(const leased_worker& worker) const;

    lease_settings with_;
    node_id node_;
    incarnation_id self_;
    worker_lease_listener& listener_;
    std::vector<node_id> schedulers_;
    bool renewal_allowed_ = true;
    bool starts_allowed_ = true;
    bool releasing_all_ = false;
    instant last_due_{};
    std::uint64_t last_token_ = 0;
    std::map<worker_id, leased_worker> workers_;
    std::unordered_map<std::uint64_t, sent_command> sent_;
    /// Ends that the worker is still waiting to have acknowledged.
    std::unordered_map<worker_id, std::vector<pb::EndedTask>> ends_;
};

} // namespace figwinch
