#include "figwinch/cell/cell_state.h"

#include "figwinch/cell/record_codec.h"

#include <algorithm>

namespace figwinch {
namespace {

/// Returns a copy of an ended job without payload and steps, which take most of a job's memory.
/// Callers still ask for the state, queue and age of ended jobs.
std::shared_ptr<const job_spec> without_payload_and_steps(const job_spec& original) {
    auto stripped = std::make_shared<job_spec>();
    stripped->queue = original.queue;
    stripped->service = original.service;
    stripped->priority = original.priority;
    stripped->attempts = original.attempts;
    stripped->stretch = original.stretch;
    stripped->target = original.target;
    stripped->accepted_at = original.accepted_at;
    return stripped;
}

/// Drops payload and steps if the job has ended. Called after the job record as well as after the
/// progress record, since the two may be read in either order.
void drop_payload_if_ended(job_entry& job) {
    if (job.phase != job_phase::open && job.spec && !job.spec->steps.empty())
        job.spec = without_payload_and_steps(*job.spec);
}

} // namespace

bool cell_state::advance_newest_offset(cell_stream stream, const stored_record& record) {
    // Offsets of different streams can't be compared, so that the stream is part of the key.
    std::string key = record.key;
    key += stream == cell_stream::intake ? '<' : '>';
    const auto [known, inserted] = newest_offsets_.try_emplace(std::move(key), record.offset);
    if (!inserted && record.offset <= known->second)
        return false;
    known->second = record.offset;
    return true;
}

void cell_state::apply(cell_stream stream, const stored_record& record) {
    if (record.key.size() < 2) {
        ++unreadable_records_;
        return;
    }
    if (!advance_newest_offset(stream, record))
        return;
    const std::string id = record.key.substr(1);
    const auto kind = static_cast<record_kind>(record.key.front());
    if (stream == cell_stream::intake && kind == record_kind::job)
        return apply_job(record, job_id(id));
    if (stream == cell_stream::intake && kind == record_kind::cancellation)
        return apply_cancellation(record, job_id(id));
    if (stream == cell_stream::progress && kind == record_kind::progress)
        return apply_progress(record, job_id(id));
    if (stream == cell_stream::progress && kind == record_kind::ordered_to)
        return apply_ordered_to(record, job_id(id));
    if (stream == cell_stream::progress && kind == record_kind::worker)
        return apply_worker(record, worker_id(id));
    if (stream == cell_stream::progress && kind == record_kind::slowdowns) {
        slowdowns_ = record.value.value_or("");
        return;
    }
    ++unreadable_records_;
}

void cell_state::apply_job(const stored_record& record, const job_id& id) {
    if (!record.value) {
        if (const auto known = jobs_.find(id); known != jobs_.end())
            known->second.spec = nullptr;
        return erase_if_empty(id);
    }
    job_entry& job = jobs_[id];
    job.id = id;
    // The first record of a job counts: callers may send a job again, and the id identifies it.
    if (job.spec)
        return;
    std::optional<job_spec> spec = decode_job(*record.value);
    if (!spec) {
        ++unreadable_records_;
        return;
    }
    job.spec = std::make_shared<const job_spec>(std::move(*spec));
    job.intake_offset = record.offset;
    drop_payload_if_ended(job);
    if (intake_callback_)
        intake_callback_(job);
}

void cell_state::apply_cancellation(const stored_record& record, const job_id& id) {
    if (!record.value) {
        if (const auto known = jobs_.find(id); known != jobs_.end())
            known->second.cancel_wanted = false;
        return erase_if_empty(id);
    }
    job_entry& job = jobs_[id];
    job.id = id;
    job.cancel_wanted = true;
    if (intake_callback_)
        intake_callback_(job);
}

void cell_state::apply_progress(const stored_record& record, const job_id& id) {
    if (!record.value) {
        if (const auto known = jobs_.find(id); known != jobs_.end())
            known->second.progress_record.clear();
        return erase_if_empty(id);
    }
    const std::optional<job_progress> progress = decode_progress(*record.value);
    if (!progress) {
        ++unreadable_records_;
        return;
    }
    job_entry& job = jobs_[id];
    job.id = id;
    job.begun = progress->begun;
    job.phase = progress->phase;
    job.progress_record = *record.value;
    drop_payload_if_ended(job);
}

void cell_state::apply_ordered_to(const stored_record& record, const job_id& id) {
    if (!record.value) {
        if (const auto known = jobs_.find(id); known != jobs_.end())
            known->second.ordered_to = {};
        return erase_if_empty(id);
    }
    job_entry& job = jobs_[id];
    job.id = id;
    job.ordered_to = worker_fingerprints::decode(*record.value);
}

void cell_state::apply_worker(const stored_record& record, const worker_id& id) {
    if (!record.value) {
        workers_.erase(id);
        return;
    }
    const std::optional<worker_entry> worker = decode_worker(*record.value);
    if (worker)
        workers_[id] = *worker;
    else
        ++unreadable_records_;
}

void cell_state::erase_if_empty(const job_id& id) {
    const auto known = jobs_.find(id);
    if (known == jobs_.end())
        return;
    const job_entry& job = known->second;
    if (!job.spec && !job.cancel_wanted && job.progress_record.empty() && job.ordered_to.empty())
        jobs_.erase(known);
}

void cell_state::clear() {
    // Swapping with an empty map also frees the memory, which `clear` would keep.
    absl::flat_hash_map<job_id, job_entry>().swap(jobs_);
    absl::flat_hash_map<worker_id, worker_entry>().swap(workers_);
    absl::flat_hash_map<std::string, std::uint64_t>().swap(newest_offsets_);
    slowdowns_.clear();
}

const job_entry* cell_state::find(const job_id& id) const {
    const auto known = jobs_.find(id);
    return known == jobs_.end() ? nullptr : &known->second;
}

std::size_t cell_state::waiting_jobs(const queue_name& queue) const {
    const auto count = std::ranges::count_if(jobs_, [&queue](const auto& entry) {
        const job_entry& job = entry.second;
        return job.spec && job.spec->queue == queue && job.phase == job_phase::open && !job.begun &&
               !job.cancel_wanted;
    });
    return static_cast<std::size_t>(count);
}

} // namespace figwinch
