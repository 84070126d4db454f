// The receiving side of `worker_lease_table`.

#include "figwinch/lease/worker_lease_table.h"

#include <algorithm>
#include <unordered_set>

namespace figwinch {
namespace {

resources from_pb(const pb::Resources& size) {
    return {size.cpu_millis(), size.memory_mib(), size.accelerators()};
}

bool is_lease_command(pb::WorkerCommand::BodyCase kind) {
    return kind == pb::WorkerCommand::kAcquire || kind == pb::WorkerCommand::kRenew ||
           kind == pb::WorkerCommand::kRelease;
}

bool lost_by(int code) {
    return code == number(result_code::lease_stale_epoch) ||
           code == number(result_code::lease_expired);
}

} // namespace

void worker_lease_table::on_reply(std::uint64_t token, const pb::WorkerReply& reply, instant now) {
    const auto place = sent_.find(token);
    if (place == sent_.end())
        return;
    const sent_command sent = place->second;
    sent_.erase(place);
    const auto known = workers_.find(sent.worker);
    if (known == workers_.end())
        return;
    leased_worker& worker = known->second;
    worker.unanswered = false;
    if (worker.state == hold_state::silent) {
        worker.state = hold_state::not_held;
        worker.next_lease = now;
    }
    if (is_lease_command(sent.kind))
        on_lease_reply(worker, sent, reply, now);
    else
        on_task_reply(worker, sent, reply, now);
}

void worker_lease_table::on_no_reply(std::uint64_t token, instant now) {
    const auto place = sent_.find(token);
    if (place == sent_.end())
        return;
    const sent_command sent = place->second;
    sent_.erase(place);
    const auto known = workers_.find(sent.worker);
    if (known == workers_.end())
        return;
    leased_worker& worker = known->second;
    if (is_lease_command(sent.kind)) {
        worker.lease_in_flight = false;
        worker.next_lease = now + with_.retry_after;
        return;
    }
    const auto held = worker.tasks.find(sent.task);
    if (held == worker.tasks.end() || held->second.attempt != sent.attempt)
        return;
    held->second.in_flight = false;
    held->second.next_send = now + with_.retry_after;
}

void worker_lease_table::on_lease_reply(leased_worker& worker, const sent_command& sent,
                                        const pb::WorkerReply& reply, instant now) {
    worker.lease_in_flight = false;
    if (reply.code() != 0) {
        worker.next_lease = now + with_.retry_after;
        if (worker.state == hold_state::held && lost_by(reply.code()))
            lose(worker, now);
        return;
    }
    if (sent.kind == pb::WorkerCommand::kRelease)
        return lose(worker, now);
    const lease_epoch epoch(reply.epoch());
    if (reply.holder() != self_.str() || epoch < worker.epoch)
        return;
    const bool newer = epoch > worker.epoch;
    const bool was_held = worker.state == hold_state::held;
    worker.epoch = epoch;
    worker.state = hold_state::held;
    worker.valid_until = sent.sent_at + with_.worker_lease;
    worker.listed_at = sent.sent_at;
    worker.answered_serial = sent.serial;
    worker.answered_at = now;
    worker.next_lease = now + with_.renew_every;
    worker.capacity = from_pb(reply.capacity());
    take_lists(worker, sent, reply, newer);
    if (!was_held)
        listener_.on_held(worker);
    listener_.on_listed(worker, sent.sent_at);
    listener_.on_room(worker);
}

void worker_lease_table::take_lists(leased_worker& worker, const sent_command& sent,
                                    const pb::WorkerReply& reply, bool newer_epoch) {
    for (const pb::RunningTask& report : reply.running())
        take_running(worker, report);
    std::vector<pb::EndedTask> kept(reply.ended().begin(), reply.ended().end());
    for (const pb::EndedTask& report : kept)
        take_ended(worker, report);
    drop_missing(worker, sent, reply, newer_epoch);
    const bool may_forget = std::ranges::any_of(
        kept, [this](const pb::EndedTask& one) { return listener_.may_acknowledge(one); });
    if (may_forget)
        worker.next_lease = std::min(worker.next_lease, sent.sent_at + with_.retry_after);
    ends_[worker.spec.name] = std::move(kept);
}

void worker_lease_table::take_running(leased_worker& worker, const pb::RunningTask& report) {
    const task_id task(report.key().task());
    const attempt_number attempt(report.key().attempt());
    const auto present = worker.tasks.find(task);
    if (present != worker.tasks.end()) {
        held_task& one = present->second;
        if (attempt == one.attempt) {
            one.used = from_pb(report.used());
            one.throttle_percent = report.throttle_percent();
            if (one.phase == held_phase::starting && !one.in_flight) {
                one.phase = held_phase::running;
                worker.pending.erase(task);
            }
            return;
        }
        if (attempt < one.attempt)
            return;
        const attempt_number replaced = one.attempt;
        drop(worker, task);
        listener_.on_gone(worker, task, replaced);
    }
    held_task found;
    found.attempt = attempt;
    found.size = from_pb(report.size());
    found.used = from_pb(report.used());
    found.job_owner = incarnation_id(report.job_owner());
    found.customer = customer_id(report.customer());
    found.copied_from = template_id(report.template_name());
    found.latency_critical = report.latency_critical();
    found.throttle_percent = report.throttle_percent();
    found.wanted_percent = found.throttle_percent;
    worker.committed += found.size;
    const auto place = worker.tasks.emplace(task, std::move(found)).first;
    listener_.on_found(worker, task, place->second);
}

bool worker_lease_table::take_ended(leased_worker& worker, const pb::EndedTask& report) {
    const task_id task(report.key().task());
    const auto held = worker.tasks.find(task);
    const bool ours = held != worker.tasks.end() &&
                      held->second.attempt == attempt_number(report.key().attempt());
    if (ours)
        drop(worker, task);
    listener_.on_ended(worker, report);
    return ours;
}

// A restarted worker, or one that another scheduler held meanwhile, lists neither as running nor as
// ended what was started under an older epoch and got lost. No start under the older epoch can
// succeed any more, so the attempt is over.
void worker_lease_table::drop_missing(leased_worker& worker, const sent_command& sent,
                                      const pb::WorkerReply& reply, bool newer_epoch) {
    std::unordered_set<std::string> running;
    for (const pb::RunningTask& report : reply.running())
        running.insert(report.key().task());
    std::vector<task_id> missing;
    for (const auto& [task, one] : worker.tasks) {
        const bool stopped = one.stop_answered && one.stop_answered_at <= sent.sent_at;
        const bool older_start = newer_epoch && one.started_under < worker.epoch;
        if (!running.contains(task.str()) && (stopped || older_start))
            missing.push_back(task);
    }
    for (const task_id& task : missing) {
        const attempt_number attempt = worker.tasks.at(task).attempt;
        drop(worker, task);
        listener_.on_gone(worker, task, attempt);
    }
}

void worker_lease_table::on_task_reply(leased_worker& worker, const sent_command& sent,
                                       const pb::WorkerReply& reply, instant now) {
    const auto held = worker.tasks.find(sent.task);
    if (held == worker.tasks.end() || held->second.attempt != sent.attempt)
        return;
    held_task& one = held->second;
    one.in_flight = false;
    one.next_send = now + with_.retry_after;
    if (lost_by(reply.code())) {
        if (worker.state == hold_state::held && sent.epoch == worker.epoch)
            lose(worker, now);
        return;
    }
    if (sent.kind == pb::WorkerCommand::kStop && reply.code() == 0) {
        one.stop_answered = true;
        one.stop_answered_at = now;
        worker.next_lease = std::min(worker.next_lease, now);
        return;
    }
    if (sent.kind == pb::WorkerCommand::kThrottle) {
        one.throttle_percent = one.wanted_percent;
        if (one.phase == held_phase::running)
            worker.pending.erase(sent.task);
        return;
    }
    if (sent.kind != pb::WorkerCommand::kStart || one.phase != held_phase::starting)
        return;
    if (reply.code() == 0) {
        one.phase = held_phase::running;
        one.start.Clear();
        worker.pending.erase(sent.task);
        return;
    }
    // A refused start may have been sent before, and that copy may still arrive when there is room:
    // a stop leaves a note at the worker that refuses it.
    one.phase = held_phase::stopping;
    one.next_send = now;
}

} // namespace figwinch
