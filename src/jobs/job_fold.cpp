#include "figwinch/jobs/job_fold.h"

#include <algorithm>
#include <cassert>
#include <charconv>

namespace figwinch {
namespace {

std::uint64_t record_number(const std::string& id) {
    const std::size_t colon = id.rfind(':');
    std::uint64_t value = 0;
    if (colon != std::string::npos)
        std::from_chars(id.data() + colon + 1, id.data() + id.size(), value);
    return value;
}

} // namespace

void job_fold::apply(log_offset offset, const std::string& payload) {
    if (offset <= position_)
        return;
    position_ = offset;
    pb::JobBatch batch;
    if (!batch.ParseFromString(payload) || !is_new(batch))
        return;
    for (const pb::JobEvent& event : batch.events())
        apply_event(offset, batch, event);
}

bool job_fold::is_new(const pb::JobBatch& batch) {
    const incarnation_id writer(batch.writer());
    if (successors_.contains(writer))
        return false;
    writer_state& state = writers_[writer];
    const std::uint64_t number = record_number(batch.record_id());
    if (number <= state.last_number)
        return false;
    state.last_number = number;
    if (!batch.data_centre().empty())
        state.data_centre = data_centre_id(batch.data_centre());
    return true;
}

void job_fold::apply_event(log_offset offset, const pb::JobBatch& batch,
                           const pb::JobEvent& event) {
    switch (event.body_case()) {
    case pb::JobEvent::kAccepted:
        return accept(offset, batch, event.accepted());
    case pb::JobEvent::kEnded:
        return end_task(batch, event.ended());
    case pb::JobEvent::kCancelled:
        return cancel(batch, event.cancelled());
    case pb::JobEvent::kMoved:
        return move(offset, batch, event.moved());
    case pb::JobEvent::kTakeover:
        return take_over(offset, batch, event.takeover());
    case pb::JobEvent::kSnapshot:
        return snapshot(offset, batch, event.snapshot());
    case pb::JobEvent::BODY_NOT_SET:
        return;
    }
}

void job_fold::accept(log_offset offset, const pb::JobBatch& batch, const pb::JobAccepted& event) {
    const job_key key = make_job_key(event.spec().customer(), event.spec().id());
    const auto [it, inserted] = jobs_.try_emplace(key);
    if (!inserted)
        return;
    job_record& job = it->second;
    job.key = key;
    job.spec = event.spec();
    job.full_state_offset = offset;
    ++open_jobs_[customer_id(job.spec.customer())];
    set_owner(job, incarnation_id(batch.writer()), data_centre_id(batch.data_centre()), {});
    if (listener_)
        listener_->on_accepted(job);
}

job_record* job_fold::find_owned(const pb::JobBatch& batch, const std::string& customer,
                                 const std::string& job) {
    const auto it = jobs_.find(make_job_key(customer, job));
    if (it == jobs_.end() || it->second.owner.str() != batch.writer())
        return nullptr;
    return &it->second;
}

void job_fold::end_task(const pb::JobBatch& batch, const pb::TaskEnded& event) {
    job_record* job = find_owned(batch, event.customer(), event.job());
    if (!job || event.task_index() < 0 || event.task_index() >= job->spec.tasks())
        return;
    const bool was_done = job->is_done();
    task_outcome& outcome = job->tasks[event.task_index()];
    const attempt_number attempt(event.attempt());
    if (outcome.final || attempt <= outcome.attempt)
        return;
    outcome.attempt = attempt;
    outcome.end = static_cast<pb::TaskEnd>(event.end());
    if (!event.checkpoint().empty())
        outcome.checkpoint = event.checkpoint();
    outcome.worker = event.worker();
    outcome.final = event.final();
    if (outcome.final) {
        outcome.checkpoint.clear();
        ++job->final_tasks;
    }
    if (!was_done && job->is_done())
        on_job_done(*job);
    if (listener_)
        listener_->on_task_ended(*job, event.task_index());
}

void job_fold::cancel(const pb::JobBatch& batch, const pb::JobCancelled& event) {
    job_record* job = find_owned(batch, event.customer(), event.job());
    if (!job || job->cancelled || (job->is_done() && !job->is_retained_when_done()))
        return;
    const bool was_done = job->is_done();
    job->cancelled = true;
    if (was_done)
        add_evictable(job->key);
    else
        on_job_done(*job);
    if (listener_)
        listener_->on_cancelled(*job);
}

void job_fold::move(log_offset offset, const pb::JobBatch& batch, const pb::JobMoved& event) {
    job_record* job = find_owned(batch, event.customer(), event.job());
    if (!job)
        return;
    const incarnation_id previous = job->owner;
    const incarnation_id to = newest_successor(incarnation_id(event.to()));
    set_owner(*job, to, data_centre_id(event.to_data_centre()), offset);
    if (listener_)
        listener_->on_owner_changed(*job, previous, false);
}

void job_fold::take_over(log_offset offset, const pb::JobBatch& batch,
                         const pb::OwnerTakeover& event) {
    const incarnation_id from(event.from());
    const incarnation_id to = newest_successor(incarnation_id(event.to()));
    const bool written_by_party = batch.writer() == event.from() || batch.writer() == event.to();
    if (!written_by_party || from == to || successors_.contains(from))
        return;
    successors_[from] = to;
    const std::set<job_key> keys = jobs_of(from);
    for (const job_key& key : keys) {
        job_record& job = jobs_.at(key);
        set_owner(job, to, job.owner_data_centre, offset);
        if (listener_)
            listener_->on_owner_changed(job, from, true);
    }
    if (listener_)
        listener_->on_taken_over(from, offset, batch.writer() == event.from());
}

void job_fold::snapshot(log_offset offset, const pb::JobBatch& batch,
                        const pb::JobSnapshot& event) {
    const job_key key = make_job_key(event.spec().customer(), event.spec().id());
    const auto [it, inserted] = jobs_.try_emplace(key);
    job_record& job = it->second;
    if (!inserted) {
        if (job.owner.str() == batch.writer())
            job.full_state_offset = offset;
        return;
    }
    job.key = key;
    job.spec = event.spec();
    job.full_state_offset = offset;
    job.cancelled = event.cancelled();
    for (const pb::TaskEnded& ended : event.tasks()) {
        job.tasks[ended.task_index()] =
            task_outcome{attempt_number(ended.attempt()), static_cast<pb::TaskEnd>(ended.end()),
                         ended.checkpoint(), ended.worker(), ended.final()};
        job.final_tasks += ended.final() ? 1 : 0;
    }
    set_owner(job, newest_successor(incarnation_id(event.owner())),
              data_centre_id(event.owner_data_centre()), offset);
    ++open_jobs_[customer_id(job.spec.customer())];
    if (job.is_done())
        on_job_done(job);
    if (listener_)
        listener_->on_accepted(job);
}

void job_fold::set_owner(job_record& job, const incarnation_id& owner, const data_centre_id& centre,
                         log_offset offset) {
    if (!job.owner.empty()) {
        const auto it = by_owner_.find(job.owner);
        it->second.erase(job.key);
        if (it->second.empty())
            by_owner_.erase(it);
    }
    job.owner = owner;
    job.owner_data_centre = centre;
    job.owned_since = offset;
    by_owner_[owner].insert(job.key);
}

incarnation_id job_fold::newest_successor(incarnation_id owner) const {
    for (auto next = successors_.find(owner); next != successors_.end();
         next = successors_.find(owner))
        owner = next->second;
    return owner;
}

void job_fold::on_job_done(const job_record& job) {
    if (!job.is_retained_when_done())
        add_evictable(job.key);
    const auto open = open_jobs_.find(customer_id(job.spec.customer()));
    if (--open->second == 0)
        open_jobs_.erase(open);
}

std::int64_t job_fold::open_jobs_of(const customer_id& customer) const {
    const auto open = open_jobs_.find(customer);
    return open == open_jobs_.end() ? 0 : open->second;
}

// Evicts done jobs by count and in log order, so that every process evicts the same job at the same
// record. A later submission with the same id is then a new job in all processes or in none.
void job_fold::add_evictable(const job_key& key) {
    done_.push_back(key);
    if (done_.size() <= max_done_jobs_)
        return;
    const auto it = jobs_.find(done_.front());
    const auto owner = by_owner_.find(it->second.owner);
    owner->second.erase(it->first);
    if (owner->second.empty())
        by_owner_.erase(owner);
    jobs_.erase(it);
    done_.pop_front();
}

void job_fold::start_at(log_offset first) {
    assert(position_.is_none() && !first.is_none());
    position_ = log_offset(first.value() - 1);
}

const job_record* job_fold::find(const job_key& key) const {
    const auto it = jobs_.find(key);
    return it == jobs_.end() ? nullptr : &it->second;
}

const std::set<job_key>& job_fold::jobs_of(const incarnation_id& owner) const {
    static const std::set<job_key> none;
    const auto it = by_owner_.find(owner);
    return it == by_owner_.end() ? none : it->second;
}

std::vector<incarnation_id> job_fold::owners() const {
    std::vector<incarnation_id> all;
    all.reserve(by_owner_.size());
    for (const auto& [owner, jobs] : by_owner_)
        all.push_back(owner);
    std::ranges::sort(all);
    return all;
}

data_centre_id job_fold::data_centre_of(const incarnation_id& writer) const {
    const auto it = writers_.find(writer);
    return it == writers_.end() ? data_centre_id{} : it->second.data_centre;
}

std::uint64_t job_fold::last_number(const incarnation_id& writer) const {
    const auto it = writers_.find(writer);
    return it == writers_.end() ? 0 : it->second.last_number;
}

pb::JobSnapshot make_snapshot(const job_record& job) {
    pb::JobSnapshot out;
    *out.mutable_spec() = job.spec;
    out.set_owner(job.owner.str());
    out.set_owner_data_centre(job.owner_data_centre.str());
    out.set_cancelled(job.cancelled);
    for (const auto& [index, outcome] : job.tasks) {
        pb::TaskEnded& task = *out.add_tasks();
        task.set_job(job.spec.id());
        task.set_customer(job.spec.customer());
        task.set_task_index(index);
        task.set_attempt(outcome.attempt.value());
        task.set_end(outcome.end);
        task.set_checkpoint(outcome.checkpoint);
        task.set_worker(outcome.worker);
        task.set_final(outcome.final);
    }
    return out;
}

} // namespace figwinch
