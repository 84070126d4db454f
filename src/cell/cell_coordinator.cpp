#include "cell/cell_coordinator.h"

#include "figwinch/cell/record_codec.h"
#include "figwinch/observe.h"

#include <algorithm>
#include <tuple>

namespace figwinch {
namespace {

// Maximum time between placement rounds, for conditions that change with time alone: quarantines,
// cold workers.
constexpr duration placement_period = std::chrono::milliseconds(100);
// Interval for recording learned slowdowns. They change slowly: a successor that starts from a
// record that is two seconds old loses nothing.
constexpr duration slowdowns_period = std::chrono::seconds(2);
// Interval of the straggler check; reports of a worker are up to a second apart.
constexpr duration stragglers_period = std::chrono::milliseconds(300);
// Interval of the sweep over leases, leaving workers and ended jobs.
constexpr duration sweep_period = std::chrono::milliseconds(100);

} // namespace

std::unique_ptr<coordinator> coordinator::create(dependencies deps, const cell_settings& settings,
                                                 lease_epoch epoch, const predecessor& before,
                                                 const cell_state& known) {
    return std::make_unique<cell_coordinator>(std::move(deps), settings, epoch, before, known);
}

cell_coordinator::cell_coordinator(dependencies deps, const cell_settings& settings,
                                   lease_epoch epoch, const predecessor& before,
                                   const cell_state& known)
    : deps_(std::move(deps)), settings_(settings), epoch_(epoch),
      term_started_at_(deps_.time.now()), last_round_at_(term_started_at_) {
    // A lease that a predecessor renewed last is valid for one more lease duration. A worker that
    // the log records as unresponsive got no renewal after this term began.
    const auto over_after = [](duration lease) {
        return std::chrono::duration_cast<duration>(lease / min_clock_rate) + lease_expiry_slack;
    };
    longest_leases_expired_at_ = before.acted_until + over_after(settings_.max_granted_lease);
    for (const auto& [id, worker] : known.workers()) {
        recorded_.insert(id);
        if (worker.lease_expired)
            continue;
        const instant renewed_until = worker.unresponsive
                                          ? std::min(term_started_at_, before.renewed_until)
                                          : before.renewed_until;
        unresolved_[id] = std::max(renewed_until + over_after(settings_.lease()),
                                   before.acted_until + over_after(start_validity));
        if (worker.incarnation == 0)
            unresolved_[id] = std::max(unresolved_[id], longest_leases_expired_at_);
        leased_incarnations_[id] = worker.incarnation;
    }
    deps_.progress_log.on_rejected(
        [this, weak = std::weak_ptr(alive_)](const stored_record& record) {
            return weak.expired() || superseded_ || handle_rejected_record(record);
        });
    update_unresolved_marks();
    slowdowns_.restore(known.slowdowns());
    // In the order of acceptance, since that of the known jobs depends on their hashes.
    std::vector<const job_entry*> entries;
    entries.reserve(known.jobs().size());
    for (const auto& [id, entry] : known.jobs())
        entries.push_back(&entry);
    std::ranges::sort(entries, {}, [](const job_entry* entry) {
        return std::tuple(entry->intake_offset, entry->id.str());
    });
    for (const job_entry* const entry : entries)
        add_job(*entry, true);
    log_event(log_level::info, "reign_begun",
              {{"epoch", static_cast<std::int64_t>(epoch_.value())},
               {"jobs", static_cast<std::int64_t>(jobs_.size())},
               {"workers_unresolved", static_cast<std::int64_t>(unresolved_.size())},
               {"predecessor_resigned", before.resigned},
               {"predecessor_renewed_ms_ago",
                (term_started_at_ - before.renewed_until) / std::chrono::milliseconds(1)},
               {"predecessor_acted_ms_ago",
                (term_started_at_ - before.acted_until) / std::chrono::milliseconds(1)}});
}

void cell_coordinator::apply_config(const cell_config& config) {
    config_ = config;
    for (const auto& [id, job] : jobs_)
        apply_queue_config(*job);
    for (job_state* const job : open_jobs_)
        mark_changed(*job);
    placement_due_ = true;
}

void cell_coordinator::update_evacuated(absl::flat_hash_set<data_centre_id> data_centres) {
    evacuated_ = std::move(data_centres);
    for (const auto& [id, worker] : workers_)
        update_index(*worker);
    placement_due_ = true;
}

void cell_coordinator::apply_intake(const job_entry& entry) {
    job_state* const known = find_job(entry.id);
    if (known == nullptr) {
        // A predecessor that has not noticed yet that it was superseded may take up jobs for a
        // little longer.
        const bool may_have_earlier_runs =
            deps_.time.now() - term_started_at_ < max_confirmation_age;
        return add_job(entry, may_have_earlier_runs);
    }
    job_state& job = *known;
    if (entry.cancel_wanted && job.phase == job_phase::open)
        end_job(job, job_phase::cancelled);
    write_dirty();
}

void cell_coordinator::tick() {
    if (superseded_)
        return;
    const instant now = deps_.time.now();
    send_due_renewals();
    send_stops();
    if (now >= next_sweep_) {
        next_sweep_ = now + sweep_period;
        expire_leases();
        resolve_expired();
        drain_leaving_workers();
        requeue_changed();
        update_reservations();
        remove_unlisted_workers();
        drop_ended_jobs();
        counts_.jobs_examined += open_jobs_.size();
        for (job_state* const job : open_jobs_)
            make_due_occurrences(*job);
        update_due_estimates();
        record_slowdowns();
        if (now >= next_stragglers_) {
            next_stragglers_ = now + stragglers_period;
            move_stragglers();
        }
        log_waiting_service_tasks();
        log_waiting_best_effort();
        log_scarce_starts();
        if (current_log_level() == log_level::debug)
            log_waiting_tasks();
    }
    requeue_changed();
    if (placement_due_ || now >= next_placement_) {
        placement_due_ = false;
        next_placement_ = now + placement_period;
        place_all();
        order_when_recorded();
    }
    write_dirty();
}

coordinator_counts cell_coordinator::counts() const {
    coordinator_counts counts = counts_;
    counts.open_jobs = open_jobs_.size();
    counts.workers = workers_.size();
    counts.workers_unresolved = unresolved_.size();
    const instant now = deps_.time.now();
    for (const auto& [id, worker] : workers_) {
        counts.running += worker->tasks.size();
        counts.workers_unresponsive += now - worker->reported_at > std::chrono::seconds(2) ? 1 : 0;
    }
    return counts;
}

/// Logs, for load analysis, how many tasks of ready steps have no worker, by task type.
void cell_coordinator::log_waiting_tasks() const {
    std::int64_t filling = 0;
    std::int64_t lasting = 0;
    std::int64_t batch = 0;
    for (const job_state* const job : open_jobs_) {
        for (const auto& [number, occurrence] : job->occurrences) {
            for (const step_state& step : occurrence->steps) {
                // Members of a gang that has succeeded stay assigned until their runs have stopped,
                // so the difference can be negative.
                const std::int64_t open =
                    std::int64_t{step.unfinished} - std::int64_t{step.assigned};
                const std::int64_t waiting = step.ready ? std::max<std::int64_t>(0, open) : 0;
                (step.spec->is_best_effort ? filling
                 : step.spec->is_service   ? lasting
                                           : batch) += waiting;
            }
        }
    }
    log_event(log_level::debug, "waiting",
              {{"filling", filling}, {"lasting", lasting}, {"batch", batch}});
}

/// Records the learned slowdowns if they have changed. The record is part of a batch that is
/// written anyway.
void cell_coordinator::record_slowdowns() {
    const instant now = deps_.time.now();
    if (now < next_slowdowns_)
        return;
    next_slowdowns_ = now + slowdowns_period;
    std::string record = slowdowns_.encode();
    if (record == recorded_slowdowns_)
        return;
    recorded_slowdowns_ = std::move(record);
    deps_.progress_log.put(record_key(record_kind::slowdowns, "table"), recorded_slowdowns_);
}

run_number cell_coordinator::next_run() {
    return run_number(run_base().value() + ++last_run_);
}

/// Returns the lower bound of this term's run numbers, which none of its runs has.
run_number cell_coordinator::run_base() const {
    // The low bits count the runs of one epoch, so that a later epoch always assigns higher
    // numbers. 2^24 starts take over an hour at the peak rate of the design size, and numbers up to
    // 2^53 are exact in JSON.
    constexpr std::uint64_t runs_per_epoch_bits = 24;
    return run_number(epoch_.value() << runs_per_epoch_bits);
}

void cell_coordinator::handle_superseded() {
    if (std::exchange(superseded_, true))
        return;
    log_event(log_level::warn, "reign_superseded",
              {{"epoch", static_cast<std::int64_t>(epoch_.value())}});
    deps_.on_superseded();
}

} // namespace figwinch
