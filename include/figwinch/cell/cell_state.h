#pragma once

#include "figwinch/cell/durable_log.h"
#include "figwinch/cell/job_entry.h"
#include "figwinch/cell/worker_entry.h"

#include <absl/container/flat_hash_map.h>

#include <functional>

namespace figwinch {

/// What the log says of a cell: its jobs, how far they are, and the workers that may have tasks.
/// A fold: applying records again, or in pages that overlap, gives the same state. Every host keeps
/// one, so that any can answer callers and become coordinator.
class cell_state {
public:
    /// Folds one record. Records that can't be read are counted and passed over.
    void apply(cell_stream stream, const stored_record& record);

    /// Forgets everything.
    void clear();

    const job_entry* find(const job_id& id) const;
    const absl::flat_hash_map<job_id, job_entry>& jobs() const { return jobs_; }
    /// Workers that may have tasks.
    const absl::flat_hash_map<worker_id, worker_entry>& workers() const { return workers_; }
    /// What coordinators have learned of images that share workers, as recorded.
    const std::string& slowdowns() const { return slowdowns_; }
    /// Accepted jobs of a queue of which no task has started.
    std::size_t waiting(const queue_name& queue) const;
    std::uint64_t unreadable() const { return unreadable_; }

    /// Called after a job of the intake stream was folded: a new one or a cancellation.
    void on_intake(std::function<void(const job_entry&)> call) {
        intake_changed_ = std::move(call);
    }

private:
    bool is_newer(cell_stream stream, const stored_record& record);
    void apply_job(const stored_record& record, const job_id& id);
    void apply_cancellation(const stored_record& record, const job_id& id);
    void apply_progress(const stored_record& record, const job_id& id);
    void apply_ordered_to(const stored_record& record, const job_id& id);
    void apply_worker(const stored_record& record, const worker_id& id);
    void erase_if_empty(const job_id& id);

    absl::flat_hash_map<job_id, job_entry> jobs_;
    absl::flat_hash_map<worker_id, worker_entry> workers_;
    /// Offset of the newest record of each key, so that an older page can't undo a newer one.
    absl::flat_hash_map<std::string, std::uint64_t> newest_;
    std::string slowdowns_;
    std::uint64_t unreadable_ = 0;
    std::function<void(const job_entry&)> intake_changed_;
};

} // namespace figwinch
