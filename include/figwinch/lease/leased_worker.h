#pragma once

#include "figwinch/base.h"
#include "figwinch/config/manifest.h"
#include "worker.pb.h"

#include <map>
#include <set>
#include <string>

namespace figwinch {

enum class held_phase { starting, running, stopping };

/// An attempt that counts against a worker's room, from before its start is sent until it is known
/// to be over.
struct held_task {
    attempt_number attempt;
    resources size;
    resources used;
    incarnation_id job_owner;
    customer_id customer;
    template_id copied_from;
    bool latency_critical = false;
    /// As the worker last reported, and as the holder wants it.
    int throttle_percent = 100;
    int wanted_percent = 100;
    held_phase phase = held_phase::running;
    /// Kept until the start is answered, so that it can be sent again.
    pb::StartTask start;
    bool stop_with_checkpoint = false;
    /// Epoch under which the start was sent first; none when the task was found on the worker.
    lease_epoch started_under;
    bool in_flight = false;
    instant next_send{};
    /// When a stop was answered; a list that was asked for later and lacks the attempt proves its
    /// end.
    bool stop_answered = false;
    instant stop_answered_at{};
};

enum class hold_state {
    /// Another scheduler is to hold it, or the lease was lost.
    not_held,
    held,
    /// Gave up on it: nothing is sent, so that every lease on it lapses.
    silent,
};

/// One worker as a scheduler that may hold it sees it. Owned by `worker_lease_table`.
struct leased_worker {
    worker_spec spec;
    hold_state state = hold_state::not_held;
    lease_epoch epoch;
    /// Counted from when the last successful renewal was sent.
    instant valid_until{};
    /// When the lease command was sent whose answer gave the present lists.
    instant listed_at{};
    /// The newest answered lease command, and when its answer came.
    std::uint64_t answered_serial = 0;
    instant answered_at{};
    resources capacity;
    resources committed;
    std::map<task_id, held_task> tasks;
    /// Tasks for which a command is to be sent or answered.
    std::set<task_id> pending;
    bool lease_in_flight = false;
    instant next_lease{};
    /// The last command of any kind that may have reached the worker.
    instant last_sent{};
    bool ever_sent = false;
    /// The first command since the last answer; meaningless while `unanswered` is false.
    instant unanswered_since{};
    bool unanswered = false;
    /// Whether this scheduler is the one to try.
    bool preferred = false;
    instant unpreferred_since{};
    bool releasing = false;
    /// The manifest no longer declares it. It is held until its tasks are stopped, and remembered
    /// until nothing that was sent to it can keep a task alive.
    bool removed = false;

    resources room() const { return capacity - committed; }
};

} // namespace figwinch
