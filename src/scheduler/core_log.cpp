// What the jobs stream tells `scheduler_core`.

#include "scheduler/scheduler_core.h"

#include <algorithm>

namespace figwinch {
namespace {

constexpr std::size_t max_remembered_takeovers = 1000;

} // namespace

void scheduler_core::on_jobs_page(const log_page& page, instant sent_at, instant now) {
    now_ = now;
    for (const log_record& record : page.records) {
        if (record.offset <= fold_.position())
            continue;
        fold_.apply(record.offset, record.payload);
        after_record(record.offset);
    }
    writer_.on_folded(fold_.last_number(self_));
    const bool at_tail = fold_.position().next() >= page.next;
    if (!at_tail) {
        read_log_ = true;
        return;
    }
    evidence_.note_confirmed(sent_at);
    const bool first = !recovered_;
    recovered_ = true;
    if (!first && page.records.empty())
        return;
    for (const auto& [name, worker] : leases_.workers())
        police(name);
}

// A process that starts reads from the oldest record left: whatever is older has been written again
// since. One that has fallen behind the retention, because it was frozen or cut off for so long,
// has missed records that nobody will show it again; it stops and comes back as a new incarnation.
void scheduler_core::on_log_truncated(log_offset first_kept, instant now) {
    now_ = now;
    read_log_ = true;
    if (fold_.position().is_none())
        fold_.start_at(first_kept);
    else if (first_kept > fold_.position().next())
        deposed_ = true;
}

// A previous owner that has not read the take-over may start tasks for as long as its view counts
// as fresh, also on a worker whose lease it takes after this. So what a holder sees of a worker
// proves nothing about that owner until this time has passed; an owner that hands its jobs over
// itself has stopped before.
void scheduler_core::on_taken_over(const incarnation_id& /*previous*/, log_offset record,
                                   bool handed_over) {
    const duration wait = handed_over ? duration{} : with_.freshness.for_starts + with_.call_margin;
    renew_all_at_ = now_ + wait;
    renew_all_ = true;
    starts_over_at_[record] = renew_all_at_;
    if (starts_over_at_.size() > max_remembered_takeovers)
        starts_over_at_.erase(starts_over_at_.begin());
}

void scheduler_core::after_record(log_offset offset) {
    if (fold_.was_taken_over(self_))
        deposed_ = true;
    if (gained_.empty())
        return;
    std::set<worker_id> workers;
    for (const auto& [name, worker] : leases_.workers())
        workers.insert(name);
    for (auto& [previous, jobs] : gained_) {
        fences_.emplace_back(previous, offset, starts_over_at_[offset],
                             with_.renew_unconfirmed + with_.leases.lapse(), workers,
                             std::move(jobs));
    }
    gained_.clear();
    next_fence_ = now_;
}

void scheduler_core::take_up(const job_record& job, bool fenced_off) {
    if (job.is_done()) {
        if (job.is_retained_when_done())
            keep_in_log(job.key, now_);
        return;
    }
    book_.add(job, fenced_off).acquired_at = now_;
    enqueue(job.key);
    keep_in_log(job.key, job.owned_since.is_none() ? now_ + with_.snapshot_every : now_);
}

// A new owner does not know how old the record is that holds the whole job, and writes it again at
// once. Were it to wait for a period of its own, a job that changes hands once in each period would
// outlive the retention with no record left.
void scheduler_core::keep_in_log(const job_key& key, instant due) {
    snapshot_due_[key] = due;
    snapshot_order_.insert({due, key});
}

void scheduler_core::let_go(const job_key& key) {
    const job_entry* job = book_.find(key);
    const customer_id customer(job ? job->spec.customer() : "");
    book_.remove(key);
    queue_.remove(key);
    if (job)
        update_usage(customer);
    const auto due = snapshot_due_.find(key);
    if (due == snapshot_due_.end())
        return;
    snapshot_order_.erase({due->second, key});
    snapshot_due_.erase(due);
}

void scheduler_core::on_accepted(const job_record& job) {
    if (is_mine(job))
        take_up(job, false);
    answer(job.key, false, absl::OkStatus());
}

void scheduler_core::on_task_ended(const job_record& job, int index) {
    if (!is_mine(job))
        return;
    if (policies_.failures && job.tasks.at(index).final)
        policies_.failures->erase_task(make_task_id(job.key, index));
    if (!job.is_done())
        return;
    let_go(job.key);
    if (job.is_retained_when_done())
        keep_in_log(job.key, now_ + with_.snapshot_every);
}

void scheduler_core::on_cancelled(const job_record& job) {
    releasing_.erase(job.key);
    if (is_mine(job)) {
        for (const running_attempt& one : book_.cancel(job.key))
            leases_.stop(one.worker, one.task, false, now_);
        let_go(job.key);
    }
    answer(job.key, true, absl::OkStatus());
}

void scheduler_core::on_owner_changed(const job_record& job, const incarnation_id& previous,
                                      bool taken_over) {
    if (previous == self_)
        let_go(job.key);
    if (!is_mine(job))
        return;
    take_up(job, taken_over);
    if (taken_over)
        gained_[previous].push_back(job.key);
}

// Records of the log expire. Each owner writes its jobs again before that, one record for many, so
// that a process that starts later still finds every job.
void scheduler_core::write_snapshots(instant now) {
    constexpr int max_at_once = 64;
    if (!writer_.is_idle())
        return;
    for (int i = 0; i < max_at_once && !snapshot_order_.empty(); ++i) {
        const auto [due, key] = *snapshot_order_.begin();
        if (now < due)
            return;
        snapshot_order_.erase(snapshot_order_.begin());
        snapshot_due_[key] = now + with_.snapshot_every;
        snapshot_order_.insert({now + with_.snapshot_every, key});
        if (const job_record* job = fold_.find(key)) {
            pb::JobEvent event;
            *event.mutable_snapshot() = make_snapshot(*job);
            writer_.add(std::move(event));
        }
    }
}

} // namespace figwinch
