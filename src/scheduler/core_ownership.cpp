// Who owns a job, and when its tasks may start again: `scheduler_core`.

#include "scheduler/scheduler_core.h"

#include "scheduler/highest_member.h"

#include <algorithm>

namespace figwinch {

void scheduler_core::run_fences(instant now, scheduler_actions& out) {
    const bool settled = now >= schedulers_changed_at_ + with_.leases.lapse();
    for (takeover_fence& fence : fences_) {
        for (const worker_id& worker : std::set<worker_id>(fence.unfenced_workers())) {
            const leased_worker* known = leases_.find(worker);
            const bool nobodys = !known;
            if (settled && (nobodys || (known->preferred && leases_.is_quiet(worker, now))))
                fence.on_unreachable(worker, now);
        }
    }
    lift_complete_fences();
    if (now < next_fence_)
        return;
    next_fence_ = now + with_.fence_every;
    const bool elsewhere =
        std::ranges::any_of(book_.active_tasks_by_worker(), [this, now](const auto& one) {
            return !leases_.is_held(one.first, now);
        });
    if (fences_.empty() && !elsewhere)
        return;
    resolve_located({}, {}, {}, now, now);
    for (const member* peer : live_schedulers(with_.self.data_centre)) {
        fence_ask ask;
        ask.peer = *peer;
        ask.query.set_previous_owner(fences_.empty() ? self_.str()
                                                     : fences_.front().previous_owner().str());
        ask.query.set_folded(fold_.position().value());
        ask.query.set_takeover(fences_.empty() ? 0 : fences_.back().record().value());
        out.asks.push_back(std::move(ask));
    }
}

void scheduler_core::lift_complete_fences() {
    for (auto fence = fences_.begin(); fence != fences_.end();) {
        if (!fence->is_complete()) {
            ++fence;
            continue;
        }
        const std::vector<job_key> jobs = fence->jobs();
        fence = fences_.erase(fence);
        for (const job_key& key : jobs) {
            book_.lift_fence(key);
            enqueue(key);
        }
    }
}

pb::PeerReply scheduler_core::on_fence_query(const incarnation_id& from,
                                             const pb::FenceQuery& query, instant now) {
    now_ = now;
    pb::PeerReply reply;
    if (!recovered_ || deposed_ || fold_.position().value() < query.folded()) {
        read_log_ = true;
        reply.set_code(number(result_code::view_not_fresh));
        reply.set_reason("the jobs stream has not been read far enough");
        return reply;
    }
    // An asker that has not read yet that it was taken over would take the tasks of its former
    // jobs, which are no longer its own here, for gone.
    if (fold_.was_taken_over(from)) {
        reply.set_code(number(result_code::state_not_recovered));
        reply.set_reason("the asker has been taken over");
        return reply;
    }
    pb::FenceReply& out = *reply.mutable_fence();
    const auto belongs = [this, &from](const std::string& task) {
        const std::optional<task_name> name = parse_task_id(task);
        const job_record* job = name ? fold_.find(name->job) : nullptr;
        return job && job->owner == from;
    };
    const auto takeover = starts_over_at_.find(log_offset(query.takeover()));
    for (const auto& [name, worker] : leases_.workers()) {
        if (worker.preferred && leases_.is_quiet(name, now))
            out.add_quiet_workers(name.str());
        if (!leases_.is_held(name, now))
            continue;
        pb::FenceWorker& held = *out.add_workers();
        held.set_name(name.str());
        held.set_epoch(worker.epoch.value());
        held.set_fenced(takeover != starts_over_at_.end() && worker.listed_at >= takeover->second);
        for (const auto& [task, one] : worker.tasks) {
            if (!belongs(task.str()))
                continue;
            pb::FenceTask& entry = *out.add_tasks();
            entry.set_task(task.str());
            entry.set_attempt(one.attempt.value());
            entry.set_worker(name.str());
        }
        for (const pb::EndedTask& report : leases_.ends_on(name)) {
            if (!belongs(report.key().task()))
                continue;
            pb::FenceTask& entry = *out.add_tasks();
            entry.set_task(report.key().task());
            entry.set_attempt(report.key().attempt());
            entry.set_worker(name.str());
            entry.set_ended(true);
            entry.set_end(report.end());
            entry.set_checkpoint(report.checkpoint());
        }
    }
    return reply;
}

void scheduler_core::on_fence_reply(const incarnation_id& from, const pb::FenceReply& reply,
                                    instant asked_at, instant now) {
    now_ = now;
    std::map<worker_id, lease_epoch> held;
    std::set<worker_id> fenced;
    std::set<worker_id> quiet;
    std::set<task_id> listed;
    for (const pb::FenceWorker& worker : reply.workers()) {
        held.emplace(worker.name(), worker.epoch());
        if (worker.fenced())
            fenced.insert(worker_id(worker.name()));
    }
    for (const std::string& worker : reply.quiet_workers())
        quiet.insert(worker_id(worker));
    for (const pb::FenceTask& task : reply.tasks()) {
        listed.insert(task_id(task.task()));
        if (task.ended()) {
            pb::EndedTask report;
            report.mutable_key()->set_task(task.task());
            report.mutable_key()->set_attempt(task.attempt());
            report.set_end(static_cast<pb::TaskEnd>(task.end()));
            report.set_checkpoint(task.checkpoint());
            take_report(report, worker_id(task.worker()));
        } else {
            const worker_id worker(task.worker());
            book_.on_attempt_observed(task_id(task.task()), attempt_number(task.attempt()),
                                      {worker, held[worker], {}, now});
        }
    }
    const bool settled = now >= schedulers_changed_at_ + with_.leases.lapse();
    for (takeover_fence& fence : fences_) {
        if (from == fence.previous_owner() || asked_at < fence.applied_at())
            continue;
        for (const worker_id& worker : fenced)
            fence.on_lease_held(worker);
        for (const worker_id& worker : quiet) {
            if (settled)
                fence.on_unreachable(worker, now);
        }
    }
    resolve_located(held, quiet, listed, asked_at, now);
    lift_complete_fences();
}

// Attempts of this owner on workers that it no longer holds. One is over when the worker's holder
// lists it no more, or when nobody has sent the worker anything for a whole lapse. A worker that
// restarts forgets its lease, and its holder learns that only with its next renewal: an epoch older
// than the attempt's shows such a holder, whose list says nothing.
void scheduler_core::resolve_located(const std::map<worker_id, lease_epoch>& held,
                                     const std::set<worker_id>& quiet,
                                     const std::set<task_id>& listed, instant asked_at,
                                     instant now) {
    const duration lapse = with_.leases.lapse();
    const bool settled = now >= schedulers_changed_at_ + lapse;
    std::vector<std::pair<task_id, attempt_number>> over;
    for (const auto& [worker, tasks] : book_.active_tasks_by_worker()) {
        if (leases_.is_held(worker, now))
            continue;
        const bool known = leases_.find(worker) != nullptr;
        const bool own_quiet = !known || leases_.is_quiet(worker, now);
        const bool silent = settled && leases_.untouched_for_lapse(worker, now) &&
                            (quiet.contains(worker) || own_quiet);
        const auto holder = held.find(worker);
        for (const task_id& task : tasks) {
            const task_slot& slot = *book_.slot(task);
            const bool later = holder != held.end() && holder->second >= slot.epoch;
            const bool unlisted = later && !listed.contains(task) && slot.since < asked_at;
            if (unlisted || (silent && now >= slot.since + lapse))
                over.emplace_back(task, slot.attempt);
        }
    }
    for (const auto& [task, attempt] : over) {
        if (!book_.on_attempt_lost(task, attempt))
            continue;
        const std::optional<task_name> name = parse_task_id(task.str());
        enqueue(name->job);
        update_usage(customer_id(book_.find(name->job)->spec.customer()));
    }
}

bool scheduler_core::is_gone(const incarnation_id& owner, instant now) const {
    for (const member& peer : members_) {
        if (peer.incarnation == owner)
            return peer.state == member_state::dead;
    }
    return now >= started_at_ + with_.unknown_owner_grace;
}

void scheduler_core::take_over_dead_owners(instant now) {
    if (stopping_ || evidence_.judge(now) != freshness::confirmed)
        return;
    std::vector<const member*> live = live_schedulers(with_.self.data_centre);
    live.push_back(&with_.self);
    for (const incarnation_id& owner : fold_.owners()) {
        if (owner == self_ || fold_.was_taken_over(owner))
            continue;
        const job_record* any = fold_.find(*fold_.jobs_of(owner).begin());
        if (any->owner_data_centre != with_.self.data_centre || !is_gone(owner, now))
            continue;
        if (highest_member(live, owner.str()) != &with_.self)
            continue;
        instant& tried = takeover_tried_[owner];
        if (tried != instant{} && now < tried + with_.takeover_retry)
            continue;
        tried = now;
        pb::JobEvent event;
        event.mutable_takeover()->set_from(owner.str());
        event.mutable_takeover()->set_to(self_.str());
        writer_.add(std::move(event));
    }
}

void scheduler_core::begin_stop(instant now) {
    now_ = now;
    stopping_ = true;
    leases_.release_all(now);
    const member* heir = highest_member(live_schedulers(with_.self.data_centre), self_.str());
    if (!heir || deposed_ || fold_.jobs_of(self_).empty())
        return;
    pb::JobEvent event;
    event.mutable_takeover()->set_from(self_.str());
    event.mutable_takeover()->set_to(heir->incarnation.str());
    writer_.add(std::move(event));
}

bool scheduler_core::is_stopped() const {
    const bool released = leases_.held() == 0 && leases_.in_flight() == 0;
    return released && (deposed_ || writer_.is_idle());
}

} // namespace figwinch
