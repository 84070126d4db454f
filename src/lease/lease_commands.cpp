// The sending side of `worker_lease_table`.

#include "figwinch/lease/worker_lease_table.h"

#include <algorithm>

namespace figwinch {
namespace {

std::int64_t in_ms(duration span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace

std::vector<worker_command> worker_lease_table::due(instant now) {
    std::vector<worker_command> out;
    forgive_own_pause(now);
    for (auto& [name, worker] : workers_)
        collect(worker, out, now);
    std::erase_if(workers_, [this, now](const auto& one) {
        const leased_worker& worker = one.second;
        return worker.removed && worker.state != hold_state::held &&
               untouched_for_lapse(one.first, now);
    });
    return out;
}

void worker_lease_table::collect(leased_worker& worker, std::vector<worker_command>& out,
                                 instant now) {
    if (worker.state == hold_state::held && now >= worker.valid_until)
        lose(worker, now);
    watch_silence(worker, now);
    if (worker.state == hold_state::silent)
        return;
    if (!worker.lease_in_flight && now >= worker.next_lease)
        send_lease(worker, out, now);
    if (worker.state == hold_state::held && !worker.releasing)
        send_tasks(worker, out, now);
}

// A process that was frozen finds old unanswered commands when it wakes, while the answers wait
// unread. Taking that for a silent worker would run its tasks again, finished ones too.
void worker_lease_table::forgive_own_pause(instant now) {
    const bool paused = now > last_due_ + with_.retry_after;
    last_due_ = now;
    if (!paused)
        return;
    for (auto& [name, worker] : workers_)
        worker.unanswered_since = now;
}

// A worker that doesn't answer may still get what it is sent: a renewal whose reply is lost keeps
// its tasks running. Only silence makes their leases lapse for sure, so that the attempts can be
// declared over and tried elsewhere.
void worker_lease_table::watch_silence(leased_worker& worker, instant now) {
    if (worker.state == hold_state::silent) {
        if (now < worker.last_sent + with_.lapse())
            return;
        forget_lapsed(worker);
        if (now < worker.last_sent + with_.lapse() + with_.quiet_for)
            return;
        worker.state = hold_state::not_held;
        worker.unanswered = false;
        worker.next_lease = now;
        return;
    }
    if (!worker.unanswered || now < worker.unanswered_since + with_.give_up_after)
        return;
    // Without tries up to now the silence may be this side's own: renewals stop while the log can't
    // be confirmed.
    if (now > worker.last_sent + 3 * with_.retry_after)
        return;
    if (worker.state == hold_state::held)
        lose(worker, now);
    worker.state = hold_state::silent;
}

bool worker_lease_table::wants_release(const leased_worker& worker, instant now) const {
    if (releasing_all_)
        return true;
    if (worker.removed)
        return worker.tasks.empty();
    return !worker.preferred && now >= worker.unpreferred_since + with_.hand_over_after;
}

bool worker_lease_table::is_idle(const leased_worker& worker) const {
    return !worker.lease_in_flight &&
           std::ranges::none_of(worker.pending, [&worker](const task_id& task) {
               const held_task& one = worker.tasks.at(task);
               return one.in_flight || one.phase == held_phase::starting;
           });
}

// A start whose answer is lost would keep the lease from being released for good, since it is not
// sent again to a worker that is to be given up.
void worker_lease_table::revoke_starts(leased_worker& worker, instant now) {
    for (const task_id& task : worker.pending) {
        held_task& one = worker.tasks.at(task);
        if (one.phase != held_phase::starting || one.in_flight)
            continue;
        one.phase = held_phase::stopping;
        one.stop_with_checkpoint = true;
        one.next_send = now;
    }
}

void worker_lease_table::send_lease(leased_worker& worker, std::vector<worker_command>& out,
                                    instant now) {
    if (worker.state == hold_state::held && wants_release(worker, now))
        revoke_starts(worker, now);
    sent_command what;
    what.worker = worker.spec.name;
    what.epoch = worker.epoch;
    if (worker.state == hold_state::not_held) {
        if (!worker.preferred || releasing_all_ || !renewal_allowed_)
            return;
        what.kind = pb::WorkerCommand::kAcquire;
        pb::AcquireLease& ask = *send(worker, what, out, now).mutable_acquire();
        ask.set_holder(self_.str());
        ask.set_known_epoch(worker.epoch.value());
        ask.set_duration_ms(in_ms(with_.worker_lease));
        ask.set_serial(last_token_);
    } else if (wants_release(worker, now) && is_idle(worker)) {
        worker.releasing = true;
        what.kind = pb::WorkerCommand::kRelease;
        pb::ReleaseLease& ask = *send(worker, what, out, now).mutable_release();
        ask.set_holder(self_.str());
        ask.set_epoch(worker.epoch.value());
    } else {
        if (!renewal_allowed_)
            return;
        what.kind = pb::WorkerCommand::kRenew;
        pb::RenewLease& ask = *send(worker, what, out, now).mutable_renew();
        ask.set_holder(self_.str());
        ask.set_epoch(worker.epoch.value());
        ask.set_duration_ms(in_ms(with_.worker_lease));
        ask.set_serial(last_token_);
        for (const pb::EndedTask& report : ends_[worker.spec.name]) {
            if (listener_.may_acknowledge(report))
                *ask.add_acknowledged() = report;
        }
    }
    worker.lease_in_flight = true;
}

void worker_lease_table::send_tasks(leased_worker& worker, std::vector<worker_command>& out,
                                    instant now) {
    for (const task_id& task : std::set<task_id>(worker.pending)) {
        held_task& one = worker.tasks.at(task);
        if (one.in_flight || now < one.next_send)
            continue;
        sent_command what{
            worker.spec.name, pb::WorkerCommand::kStart, task, one.attempt, worker.epoch, now, 0};
        if (one.phase == held_phase::starting) {
            if (!starts_allowed_ || !may_start(worker.spec.name, now))
                continue;
            pb::StartTask& ask = *send(worker, what, out, now).mutable_start();
            ask = one.start;
            // The worker handled that lease command before its answer came, so that counted from
            // there it refuses the start at the latest `start_within` after now.
            ask.set_after_serial(worker.answered_serial);
            ask.set_within_ms(in_ms(now - worker.answered_at + with_.start_within));
        } else if (one.phase == held_phase::stopping) {
            what.kind = pb::WorkerCommand::kStop;
            pb::StopTask& ask = *send(worker, what, out, now).mutable_stop();
            ask.mutable_key()->set_task(task.str());
            ask.mutable_key()->set_attempt(one.attempt.value());
            ask.set_checkpoint(one.stop_with_checkpoint);
        } else {
            what.kind = pb::WorkerCommand::kThrottle;
            pb::ThrottleTask& ask = *send(worker, what, out, now).mutable_throttle();
            ask.mutable_key()->set_task(task.str());
            ask.mutable_key()->set_attempt(one.attempt.value());
            ask.set_percent(one.wanted_percent);
        }
        one.in_flight = true;
    }
}

pb::WorkerCommand& worker_lease_table::send(leased_worker& worker, sent_command what,
                                            std::vector<worker_command>& out, instant now) {
    worker_command& command = out.emplace_back();
    command.worker = worker.spec.name;
    command.token = ++last_token_;
    command.body.set_holder(self_.str());
    command.body.set_epoch(worker.epoch.value());
    what.sent_at = now;
    what.serial = command.token;
    sent_.emplace(command.token, std::move(what));
    const bool resumed = now > worker.last_sent + 3 * with_.retry_after;
    worker.last_sent = now;
    worker.ever_sent = true;
    if (!worker.unanswered || resumed) {
        worker.unanswered = true;
        worker.unanswered_since = now;
    }
    return command.body;
}

} // namespace figwinch
