#pragma once

#include "figwinch/cell/durable_log.h"
#include "figwinch/cell/job_entry.h"
#include "figwinch/cell/worker_entry.h"

#include <absl/container/flat_hash_map.h>

#include <functional>

namespace figwinch {

/// The state of a cell as recorded in the log: its jobs, their progress, and the workers that may
/// have tasks. Records are applied idempotently: applying them again, or from overlapping pages,
/// gives the same state. Hosts keep such a copy to answer callers and to be able to become
/// coordinator.
class cell_state {
public:
    /// Applies one record. Records that can't be decoded are counted and skipped.
    void apply(cell_stream stream, const stored_record& record);

    /// Drops all records, for a host that no longer keeps a copy of the jobs.
    void clear();

    const job_entry* find(const job_id& id) const;
    const absl::flat_hash_map<job_id, job_entry>& jobs() const { return jobs_; }
    /// Workers that may have tasks.
    const absl::flat_hash_map<worker_id, worker_entry>& workers() const { return workers_; }
    /// The recorded slowdown model: how much images slow each other down on a shared worker, as
    /// coordinators have measured it. Encoded.
    const std::string& slowdowns() const { return slowdowns_; }
    /// The number of accepted jobs of a queue of which no task has started.
    std::size_t waiting_jobs(const queue_name& queue) const;
    std::uint64_t unreadable_records() const { return unreadable_records_; }

    /// Sets the callback that is called after a record of the intake stream was applied to a job: a
    /// new job or a cancellation.
    void set_intake_callback(std::function<void(const job_entry&)> call) {
        intake_callback_ = std::move(call);
    }

private:
    bool advance_newest_offset(cell_stream stream, const stored_record& record);
    void apply_job(const stored_record& record, const job_id& id);
    void apply_cancellation(const stored_record& record, const job_id& id);
    void apply_progress(const stored_record& record, const job_id& id);
    void apply_ordered_to(const stored_record& record, const job_id& id);
    void apply_worker(const stored_record& record, const worker_id& id);
    void erase_if_empty(const job_id& id);

    absl::flat_hash_map<job_id, job_entry> jobs_;
    absl::flat_hash_map<worker_id, worker_entry> workers_;
    /// The offset of the newest applied record of each key. Older records are ignored, so that a
    /// page of older records can't overwrite newer ones.
    absl::flat_hash_map<std::string, std::uint64_t> newest_offsets_;
    std::string slowdowns_;
    std::uint64_t unreadable_records_ = 0;
    std::function<void(const job_entry&)> intake_callback_;
};

} // namespace figwinch
