#include "cell/cell_coordinator.h"

#include "figwinch/cell/record_codec.h"
#include "figwinch/observe.h"

#include <algorithm>

namespace figwinch {
namespace {

// Placement looks again at least this often for what time alone changes: rests, cold workers.
constexpr duration placement_period = std::chrono::milliseconds(100);
// Leases, leaving workers and ended jobs are looked through this often.
// What is learned changes slowly; a successor that starts from two seconds ago loses nothing.
constexpr duration slowdowns_period = std::chrono::seconds(2);
// Reports are up to a second apart.
constexpr duration stragglers_period = std::chrono::milliseconds(300);
constexpr duration sweep_period = std::chrono::milliseconds(100);

} // namespace

std::unique_ptr<coordinator> coordinator::create(parts with, const cell_settings& settings,
                                                 lease_epoch epoch, const predecessor& before,
                                                 const cell_state& known) {
    return std::make_unique<cell_coordinator>(std::move(with), settings, epoch, before, known);
}

cell_coordinator::cell_coordinator(parts with, const cell_settings& settings, lease_epoch epoch,
                                   const predecessor& before, const cell_state& known)
    : with_(std::move(with)), settings_(settings), epoch_(epoch), began_(with_.time.now()) {
    // What a predecessor held last lives for one more lease. A worker that the log says is silent
    // was held no more when this reign began.
    const auto over_after = [](duration lease) {
        return std::chrono::duration_cast<duration>(lease / slowest_clock) + lapse_slack;
    };
    whole_leases_over_ = before.acted_until + over_after(settings_.max_hold);
    for (const auto& [id, worker] : known.workers()) {
        const instant prolonged_until =
            worker.unresponsive ? std::min(began_, before.prolonged_until) : before.prolonged_until;
        unresolved_[id] = std::max(prolonged_until + over_after(settings_.lease()),
                                   before.acted_until + over_after(start_validity));
        held_lives_[id] = worker.incarnation;
    }
    mark_unresolved();
    slowdowns_.restore(known.slowdowns());
    for (const auto& [id, entry] : known.jobs())
        add_job(entry, true);
    log_event(log_level::info, "reign_begun",
              {{"epoch", static_cast<std::int64_t>(epoch_.value())},
               {"jobs", static_cast<std::int64_t>(jobs_.size())},
               {"workers_unresolved", static_cast<std::int64_t>(unresolved_.size())},
               {"predecessor_resigned", before.resigned}});
}

void cell_coordinator::take_config(const cell_config& config) {
    config_ = config;
    for (const auto& [id, job] : jobs_)
        apply_queue(*job);
    sort_due_ = true;
    placement_due_ = true;
}

void cell_coordinator::take_evacuated(absl::flat_hash_set<data_centre_id> data_centres) {
    evacuated_ = std::move(data_centres);
    for (const auto& [id, worker] : workers_)
        offer(*worker);
    placement_due_ = true;
}

void cell_coordinator::take_intake(const job_entry& entry) {
    job_work* const known = find_job(entry.id);
    if (known == nullptr) {
        // A predecessor that doesn't know yet that it is one may take up jobs for a little longer.
        const bool early = with_.time.now() - began_ < fresh_reign;
        return add_job(entry, early);
    }
    job_work& job = *known;
    if (entry.cancel_wanted && job.phase == job_phase::open)
        end_job(job, job_phase::cancelled);
    write_dirty();
}

void cell_coordinator::tick() {
    if (deposed_)
        return;
    const instant now = with_.time.now();
    hold_due();
    send_stops();
    if (now >= next_sweep_) {
        next_sweep_ = now + sweep_period;
        expire_leases();
        resolve_expired();
        leave_leaving_workers();
        keep_room();
        forget_gone_workers();
        drop_ended_jobs();
        for (job_work* const job : order_)
            make_due_occurrences(*job);
        for (job_work* const job : order_)
            look_ahead(*job);
        sort_due_ = true;
        record_slowdowns();
        if (now >= next_stragglers_) {
            next_stragglers_ = now + stragglers_period;
            move_stragglers();
        }
        log_lasting_waits();
        if (current_log_level() == log_level::debug)
            log_waiting();
    }
    if (std::exchange(sort_due_, false))
        sort_jobs();
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
    counts.open_jobs = order_.size();
    counts.workers = workers_.size();
    counts.workers_unresolved = unresolved_.size();
    const instant now = with_.time.now();
    for (const auto& [id, worker] : workers_) {
        counts.running += worker->tasks.size();
        counts.workers_silent += now - worker->reported_at > std::chrono::seconds(2) ? 1 : 0;
    }
    return counts;
}

/// For studies of load: tasks whose turn has come and that have no worker, by kind.
void cell_coordinator::log_waiting() const {
    std::int64_t filling = 0;
    std::int64_t lasting = 0;
    std::int64_t batch = 0;
    for (const job_work* const job : order_) {
        for (const auto& [number, occurrence] : job->occurrences) {
            for (const step_work& step : occurrence->steps) {
                // Members of a gang that ended well are still placed until they have gone.
                const std::int64_t open = std::int64_t{step.left} - std::int64_t{step.placed};
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

/// Written when something was learned, in batches that go out anyway.
void cell_coordinator::record_slowdowns() {
    const instant now = with_.time.now();
    if (now < next_slowdowns_)
        return;
    next_slowdowns_ = now + slowdowns_period;
    std::string record = slowdowns_.encode();
    if (record == recorded_slowdowns_)
        return;
    recorded_slowdowns_ = std::move(record);
    with_.journal.write({record_key(record_kind::slowdowns, "table"), recorded_slowdowns_, 0});
}

run_number cell_coordinator::next_run() {
    // Runs of one epoch are counted in the low bits: a later epoch always numbers higher. 2^24
    // starts are over an hour of the design size's peak, and 2^53 bounds what JSON carries exactly.
    constexpr std::uint64_t runs_per_epoch_bits = 24;
    return run_number((epoch_.value() << runs_per_epoch_bits) + ++last_run_);
}

void cell_coordinator::be_deposed() {
    if (std::exchange(deposed_, true))
        return;
    log_event(log_level::warn, "reign_superseded",
              {{"epoch", static_cast<std::int64_t>(epoch_.value())}});
    with_.deposed();
}

} // namespace figwinch
