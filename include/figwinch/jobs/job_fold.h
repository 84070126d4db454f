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

/// Is notified of the changes that a log record made to the jobs, after they are applied.
class job_fold_listener {
public:
    virtual ~job_fold_listener() = default;
    virtual void on_accepted(const job_record& job) = 0;
    virtual void on_task_ended(const job_record& job, int index) = 0;
    virtual void on_cancelled(const job_record& job) = 0;
    virtual void on_owner_changed(const job_record& job, const incarnation_id& previous,
                                  bool taken_over) = 0;
    /// Called once per take-over record, after `on_owner_changed` for each of its jobs.
    /// `handed_over`: the previous owner wrote the record itself.
    virtual void on_taken_over(const incarnation_id& previous, log_offset record,
                               bool handed_over) = 0;
};

/// The state of all jobs, built by applying the records of the `jobs` stream in log order. Every
/// process that applies the same records computes the same state.
///
/// Two kinds of records are ignored. Duplicates: a scheduler appends a record again if the
/// acknowledgement of the append was lost. Each writer numbers its records
/// (`<incarnation>:<number>`), and a number that is not above the writer's last one is skipped.
/// Stale writers: a scheduler whose jobs were taken over while it was suspended may resume and
/// continue writing. Its records after the take-over are skipped, because its successor has not
/// seen them.
class job_fold {
public:
    /// Retains the newest `max_done_jobs` done jobs, and also all jobs that the manifest declares
    /// (`job_record::is_retained_when_done`).
    explicit job_fold(job_fold_listener* listener = nullptr, std::size_t max_done_jobs = 5'000)
        : listener_(listener), max_done_jobs_(max_done_jobs) {}

    /// Applies one record. Records at or before `position()` and payloads that can't be parsed as a
    /// `JobBatch` change no job.
    void apply(log_offset offset, const std::string& payload);

    /// Offset of the last applied record.
    log_offset position() const { return position_; }
    /// The job, or null if it is unknown.
    const job_record* find(const job_key& key) const;
    const std::unordered_map<job_key, job_record>& jobs() const { return jobs_; }
    /// Keys of the jobs that a scheduler owns; empty if it owns none.
    const std::set<job_key>& jobs_of(const incarnation_id& owner) const;
    /// The schedulers that own at least one job, sorted.
    std::vector<incarnation_id> owners() const;
    bool was_taken_over(const incarnation_id& owner) const { return successors_.contains(owner); }
    /// The data centre that a writer's records name; empty if it has written none.
    data_centre_id data_centre_of(const incarnation_id& writer) const;
    /// The highest record number of a writer; 0 if it has written none.
    std::uint64_t last_number(const incarnation_id& writer) const;
    /// Number of the customer's jobs that are not done.
    std::int64_t open_jobs_of(const customer_id& customer) const;
    /// Starts at the offset `first` because older records have expired from the log. Must be called
    /// before the first `apply`.
    void start_at(log_offset first);

private:
    bool is_new(const pb::JobBatch& batch);
    void apply_event(log_offset offset, const pb::JobBatch& batch, const pb::JobEvent& event);
    void accept(log_offset offset, const pb::JobBatch& batch, const pb::JobAccepted& event);
    void end_task(const pb::JobBatch& batch, const pb::TaskEnded& event);
    void cancel(const pb::JobBatch& batch, const pb::JobCancelled& event);
    void move(log_offset offset, const pb::JobBatch& batch, const pb::JobMoved& event);
    void take_over(log_offset offset, const pb::JobBatch& batch, const pb::OwnerTakeover& event);
    void snapshot(log_offset offset, const pb::JobBatch& batch, const pb::JobSnapshot& event);
    job_record* find_owned(const pb::JobBatch& batch, const std::string& customer,
                           const std::string& job);
    void set_owner(job_record& job, const incarnation_id& owner, const data_centre_id& centre,
                   log_offset offset);
    incarnation_id newest_successor(incarnation_id owner) const;
    void on_job_done(const job_record& job);
    void add_evictable(const job_key& key);

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
    std::size_t max_done_jobs_;
    /// Done jobs that may be evicted, oldest first.
    std::deque<job_key> done_;
};

/// The complete state of a job as a record. The owner appends it before the job's older records
/// expire from the log.
pb::JobSnapshot make_snapshot(const job_record& job);

} // namespace figwinch
