#pragma once

#include "figwinch/base.h"
#include "figwinch/jobs/job_record.h"

#include <deque>
#include <functional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace figwinch {

/// Hears what a record changed, after the change.
class job_fold_listener {
public:
    virtual ~job_fold_listener() = default;
    virtual void on_accepted(const job_record& job) = 0;
    virtual void on_task_ended(const job_record& job, int index) = 0;
    virtual void on_cancelled(const job_record& job) = 0;
    virtual void on_owner_changed(const job_record& job, const incarnation_id& previous,
                                  bool taken_over) = 0;
    /// After the calls for each job. `handed_over`: by the previous owner itself.
    virtual void on_taken_over(const incarnation_id& previous, log_offset record,
                               bool handed_over) = 0;
};

/// The state of all jobs by the records of the jobs stream, in log order. Every process that folds
/// the same records holds the same state.
///
/// Guards: a record whose acknowledgement was lost is appended twice, and each writer numbers its
/// records (`<incarnation>:<number>`), so a number that isn't newer is skipped. A writer that was
/// taken over while it was frozen goes on writing; all that it writes after the take-over is
/// skipped, since the new owner can't know of it.
class job_fold {
public:
    /// Of the jobs that are done, the newest `keep_done` are remembered, besides those that the
    /// manifest declares (`job_record::is_kept_when_done`).
    explicit job_fold(job_fold_listener* listener = nullptr, std::size_t keep_done = 5'000)
        : listener_(listener), keep_done_(keep_done) {}

    /// Folds one record; payloads that can't be parsed change nothing.
    void apply(log_offset offset, const std::string& payload);

    /// The last record that was folded.
    log_offset position() const { return position_; }
    /// Null when no such job is known.
    const job_record* find(const job_key& key) const;
    const std::unordered_map<job_key, job_record>& jobs() const { return jobs_; }
    /// Jobs of one owner; empty when it has none.
    const std::set<job_key>& jobs_of(const incarnation_id& owner) const;
    /// Owners that have jobs.
    std::vector<incarnation_id> owners() const;
    bool was_taken_over(const incarnation_id& owner) const { return successors_.contains(owner); }
    /// The data centre that a writer gave; empty when it has written nothing.
    data_centre_id data_centre_of(const incarnation_id& writer) const;
    /// The newest record number of a writer; 0 when none.
    std::uint64_t last_number(const incarnation_id& writer) const;
    /// Jobs of a customer that are not done.
    std::int64_t open_jobs_of(const customer_id& customer) const;
    /// Starts with the record `first`, because older ones have expired. Only before the first fold.
    void begin_at(log_offset first);

private:
    bool is_new(const pb::JobBatch& batch);
    void apply_event(log_offset offset, const pb::JobBatch& batch, const pb::JobEvent& event);
    void accept(log_offset offset, const pb::JobBatch& batch, const pb::JobAccepted& event);
    void end_task(const pb::JobBatch& batch, const pb::TaskEnded& event);
    void cancel(const pb::JobBatch& batch, const pb::JobCancelled& event);
    void move(log_offset offset, const pb::JobBatch& batch, const pb::JobMoved& event);
    void take_over(log_offset offset, const pb::JobBatch& batch, const pb::OwnerTakeover& event);
    void snapshot(log_offset offset, const pb::JobBatch& batch, const pb::JobSnapshot& event);
    job_record* owned(const pb::JobBatch& batch, const std::string& customer,
                      const std::string& job);
    void set_owner(job_record& job, const incarnation_id& owner, const data_centre_id& centre,
                   log_offset offset);
    incarnation_id newest_successor(incarnation_id owner) const;
    void note_done(const job_record& job);
    void forget_later(const job_key& key);

    struct writer_state {
        std::uint64_t last_number = 0;
        data_centre_id data_centre;
    };

    job_fold_listener* listener_;
    log_offset position_;
    std::unordered_map<job_key, job_record> jobs_;
    std::unordered_map<incarnation_id, std::set<job_key>> by_owner_;
    std::unordered_map<customer_id, std::int64_t> open_jobs_;
    std::unordered_map<incarnation_id, writer_state> writers_;
    std::unordered_map<incarnation_id, incarnation_id> successors_;
    std::size_t keep_done_;
    /// Done jobs that may be forgotten, oldest first.
    std::deque<job_key> done_;
};

/// One job's whole state as a record, for the time when its first records expire.
pb::JobSnapshot make_snapshot(const job_record& job);

} // namespace figwinch
