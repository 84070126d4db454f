#include "cell/cell_coordinator.h"
#include "figwinch/cell/record_codec.h"
#include "figwinch/observe.h"

#include <absl/strings/str_cat.h>
#include <absl/strings/str_join.h>

#include <algorithm>
#include <cmath>
#include <limits>

namespace figwinch {
namespace {

// How long a worker may wait for an end before it answers. With serving and filling tasks side by
// side the answer is also the only sight of the serving tasks' tails, which are kept for half a
// second.
constexpr duration quiet_wait = std::chrono::milliseconds(1000);
constexpr duration shared_wait = std::chrono::milliseconds(400);
// One answer may get lost on its way; two in a row tell.
constexpr int unanswered_to_tell = 2;
constexpr duration hold_retry = std::chrono::milliseconds(150);
// While ends wait for the log, a worker would answer at once with the same ends: ask again only to
// keep its lease.
constexpr duration unnoted_pause = std::chrono::milliseconds(500);
// The platform lists a live worker again within two seconds after its store comes back.
// Jobs that a predecessor took up are read within its last second and one reading period.
constexpr duration unread_job_wait = std::chrono::seconds(3);
constexpr double learn_below = 0.95;
constexpr duration unlisted_kept = std::chrono::seconds(15);

} // namespace

namespace {

void log_worker(const worker_listing& row) {
    if (current_log_level() != log_level::debug)
        return;
    log_event(log_level::debug, "worker_found",
              {{"worker", row.id.str()},
               {"data_centre", row.data_centre.str()},
               {"labels", absl::StrJoin(row.labels, ",")},
               {"cpu_millis", row.capacity.cpu_millis},
               {"memory_mib", row.capacity.memory_mib}});
}

} // namespace

worker_work* cell_coordinator::find_worker(const worker_id& id) {
    const auto known = workers_.find(id);
    return known == workers_.end() ? nullptr : known->second.get();
}

void cell_coordinator::take_listing(const std::vector<worker_listing>& listing) {
    for (const auto& [id, worker] : workers_)
        worker->listed = false;
    for (const worker_listing& row : listing) {
        std::unique_ptr<worker_work>& worker = workers_[row.id];
        if (!worker) {
            worker = std::make_unique<worker_work>();
            worker->reported_at = with_.time.now();
            log_worker(row);
        }
        worker->listed = true;
        worker->listing = row;
        const bool other_life = row.born_ms != 0 && worker->born_ms != 0;
        if (other_life && row.born_ms != worker->born_ms)
            worker->unanswered = std::max(worker->unanswered, 1);
    }
    placement_due_ = true;
}

void cell_coordinator::hold_due() {
    const instant now = with_.time.now();
    for (const auto& [id, worker] : workers_)
        if (!worker->hold_in_flight && now >= worker->next_hold)
            hold(*worker);
}

void cell_coordinator::hold(worker_work& worker) {
    const instant now = with_.time.now();
    hold_order order;
    order.epoch = epoch_;
    // After a silence another life may answer, whose own ends count from 1 again: it must not
    // forget ends that only the earlier life's were noted up to.
    order.noted = worker.unanswered == 0 ? worker.noted : 0;
    // Prolonging the lease of a worker that doesn't answer would keep the tasks on it out of reach:
    // the order may still arrive, and then they live on unseen.
    const auto clock_ms = worker.clock.at_least(now);
    if (clock_ms && !worker.silent && worker.unanswered == 0) {
        order.until_ms = *clock_ms + settings_.max_hold.count() / 1000;
        worker.latest_until_ms = std::max(worker.latest_until_ms, *order.until_ms);
        const bool shared = worker.filling_cpu > 0 && worker.lasting_cpu > 0;
        order.wait = worker.noted < worker.seen ? duration::zero()
                     : shared                   ? shared_wait
                                                : quiet_wait;
    }
    worker.hold_in_flight = true;
    ++counts_.holds;
    with_.orders.hold(worker.listing, order,
                      [this, weak = std::weak_ptr(alive_), id = worker.listing.id,
                       asked = now](order_outcome outcome, const worker_report& report) {
                          if (!weak.expired() && !deposed_)
                              take_report(id, asked, outcome, report);
                      });
}

void cell_coordinator::take_report(const worker_id& id, instant asked, order_outcome outcome,
                                   const worker_report& report) {
    worker_work* const worker = find_worker(id);
    if (worker == nullptr)
        return;
    const instant now = with_.time.now();
    worker->hold_in_flight = false;
    if (outcome == order_outcome::superseded)
        return be_deposed();
    if (outcome != order_outcome::done) {
        worker->next_hold = now + hold_retry;
        return take_silence(*worker);
    }
    worker->reported_at = now;
    worker->unanswered = 0;
    if (worker->silent)
        end_silence(*worker);
    worker->next_hold = now;
    if (worker->born_ms != report.born_ms)
        start_new_life(*worker, report.born_ms);
    worker->clock.observe(report.clock_ms, now);
    // A predecessor may have held it until this moment, but not after: its orders are refused now.
    if (!std::exchange(worker->heard, true))
        worker->latest_until_ms = report.clock_ms + settings_.max_hold.count() / 1000;
    resolve(id);
    take_ends(*worker, report.ended);
    take_running(*worker, report, asked);
    share_processors(*worker);
    if (!worker->registered && !worker->registering)
        register_life(*worker);
    if (worker->noted < worker->seen)
        worker->next_hold = now + unnoted_pause;
}

void cell_coordinator::start_new_life(worker_work& worker, std::uint64_t born_ms) {
    if (worker.born_ms != 0)
        log_event(log_level::info, "worker_reborn", {{"worker", worker.listing.id.str()}});
    worker.born_ms = born_ms;
    worker.clock = {};
    // Orders that were on their way to the earlier life may reach this one.
    worker.heard = false;
    worker.seen = 0;
    worker.noted = 0;
    worker.failures_in_row = 0;
    // Times on the clock of the life before say nothing on the new one: an unanswered start may
    // still be carried out until a stop is acknowledged.
    for (task_work* const task : worker.tasks)
        task->run.start_until_ms = std::numeric_limits<std::int64_t>::max();
}

void cell_coordinator::take_silence(worker_work& worker) {
    ++worker.unanswered;
    if (worker.unanswered < unanswered_to_tell || worker.silent || !worker.registered)
        return;
    worker.silent = true;
    log_event(log_level::warn, "worker_silent", {{"worker", worker.listing.id.str()}});
    with_.journal.write({record_key(record_kind::worker, worker.listing.id.str()),
                         encode_worker({worker.born_ms, true}), 0});
}

/// It answers again. A successor that still reads of its silence would wait too short a time, so
/// its lease is prolonged only once the log says otherwise.
void cell_coordinator::end_silence(worker_work& worker) {
    if (worker.registering)
        return;
    register_life(worker);
}

void cell_coordinator::register_life(worker_work& worker) {
    worker.registering = true;
    const worker_id id = worker.listing.id;
    with_.journal.write(
        {record_key(record_kind::worker, id.str()), encode_worker({worker.born_ms, false}), 0},
        [this, weak = std::weak_ptr(alive_), id] {
            if (weak.expired())
                return;
            if (worker_work* const known = find_worker(id)) {
                known->registering = false;
                known->registered = true;
                known->silent = false;
                placement_due_ = true;
            }
        });
}

void cell_coordinator::take_ends(worker_work& worker, const std::vector<ended_row>& rows) {
    const std::uint64_t seen_before = worker.seen;
    for (const ended_row& row : rows) {
        if (row.number <= worker.seen)
            continue;
        worker.seen = row.number;
        take_end(worker, row);
    }
    if (worker.seen == seen_before)
        return;
    // A worker forgets an end once it is noted, so the log has to have it first.
    write_dirty();
    with_.journal.barrier([this, weak = std::weak_ptr(alive_), id = worker.listing.id,
                           born = worker.born_ms, noted = worker.seen] {
        if (weak.expired())
            return;
        worker_work* const known = find_worker(id);
        if (known == nullptr || known->born_ms != born)
            return;
        known->noted = std::max(known->noted, noted);
        known->next_hold = with_.time.now();
    });
}

void cell_coordinator::take_running(worker_work& worker, const worker_report& report,
                                    instant asked) {
    absl::flat_hash_set<task_work*> seen;
    for (const running_row& row : report.running) {
        take_row(worker, row);
        const auto name = parse_task_name(row.task);
        task_work* const task = name ? find_task(*name) : nullptr;
        if (task != nullptr && task->where == &worker && task->run.number == row.run)
            seen.insert(task);
    }
    drop_missing(worker, report, asked, seen);
    worker.strays = stray_size(worker, report);
}

void cell_coordinator::take_row(worker_work& worker, const running_row& row) {
    const auto name = parse_task_name(row.task);
    task_work* const task = name ? find_task(*name) : nullptr;
    const instant now = with_.time.now();
    const bool wanted = task != nullptr && task->job->phase == job_phase::open &&
                        !task->progress.done && task->where == nullptr;
    if (wanted) {
        // Started by a predecessor, or a start whose answer never came.
        task->run = task_run{};
        task->run.number = row.run;
        task->run.ordered_at = now;
        task->run.progressed_at = now;
        task->run.now = task_run::phase::running;
        task->run.settled_at = now;
        task->job->begun = true;
        // What it was paced to isn't told.
        task->run.pace_set = task->step->spec->filling ? -1 : task->run.pace_set;
        bind(*task, worker);
    }
    // A predecessor that didn't know yet that it was one may have started a job that isn't read
    // here yet: to stop it as a stray would lose its work, and the job would be started beside it.
    if (task == nullptr && now - began_ < unread_job_wait)
        return;
    if (task == nullptr || task->where != &worker || task->run.number != row.run)
        return stop_stray(worker, row.task, row.run);
    task_run& run = task->run;
    if (run.now == task_run::phase::starting)
        run.now = task_run::phase::running;
    if (row.percent != run.percent)
        run.progressed_at = now;
    run.percent = row.percent;
    run.recent = row.recent;
    if (!row.checkpoint.empty())
        run.checkpoint = row.checkpoint;
}

/// Gives up runs that the worker's report proves gone: the report was asked for after the last
/// order about the run was answered, or the start can no longer take effect by the worker's clock.
void cell_coordinator::drop_missing(worker_work& worker, const worker_report& report, instant asked,
                                    const absl::flat_hash_set<task_work*>& seen) {
    std::vector<task_work*> gone;
    for (task_work* const task : worker.tasks) {
        if (seen.contains(task))
            continue;
        const task_run& run = task->run;
        const bool settled = run.settled_at && *run.settled_at < asked;
        const bool start_passed = run.now == task_run::phase::stopping && !run.settled_at &&
                                  run.start_until_ms < report.clock_ms;
        if (settled || start_passed)
            gone.push_back(task);
    }
    for (task_work* const task : gone) {
        log_event(log_level::warn, "run_gone",
                  {{"task", to_string(name_of(*task))}, {"worker", worker.listing.id.str()}});
        release(*task);
    }
}

/// For studies of sharing: what every task on a worker asked for, did and suffered.
void cell_coordinator::log_sharing(const worker_work& worker) {
    std::string tasks;
    for (const task_work* const task : worker.tasks) {
        const step_spec& spec = *task->step->spec;
        const char* const kind = spec.lasting ? "lasting" : spec.filling ? "filling" : "batch";
        absl::StrAppend(&tasks, kind, ":", spec.image, ":", spec.size.cpu_millis, ":",
                        task->run.recent, ":", spec.tail_target.count() / 1000, ":",
                        task->run.percent, ":", task->run.pace_set, " ");
    }
    log_event(log_level::debug, "sharing",
              {{"worker", worker.listing.id.str()},
               {"cpu_millis", worker.listing.capacity.cpu_millis},
               {"tasks", tasks}});
}

void cell_coordinator::share_processors(worker_work& worker) {
    const auto cores = static_cast<double>(worker.listing.capacity.cpu_millis);
    std::vector<serving_view> serving;
    std::vector<filling_view> filling;
    std::vector<task_work*> filling_tasks;
    for (task_work* const task : worker.tasks) {
        const step_spec& spec = *task->step->spec;
        if (task->run.now != task_run::phase::running)
            continue;
        if (spec.filling) {
            filling.push_back(
                {task->step->image, static_cast<double>(spec.size.cpu_millis) / cores});
            filling_tasks.push_back(task);
        } else if (spec.tail_target > duration::zero() && task->run.recent > 0) {
            const double tail_us = static_cast<double>(task->run.recent) * 1000.0;
            serving.push_back({task->step->image,
                               tail_us / static_cast<double>(spec.tail_target.count()),
                               &task->run.load});
        }
    }
    if (current_log_level() == log_level::debug)
        log_sharing(worker);
    learn_slowdowns(worker, serving);
    worker.sharing.decide(slowdowns_, serving, filling, with_.time.now());
    for (std::size_t index = 0; index < filling.size(); ++index) {
        filling_tasks[index]->run.pace_wanted = filling[index].percent;
        send_pace(*filling_tasks[index]);
    }
}

void cell_coordinator::learn_slowdowns(const worker_work& worker,
                                       const std::vector<serving_view>& serving) {
    const auto cores = static_cast<double>(worker.listing.capacity.cpu_millis);
    std::vector<image_share> beside;
    double busy = static_cast<double>(worker.lasting_cpu) * lasting_use / cores;
    for (const task_work* const task : worker.tasks) {
        if (task->step->spec->lasting)
            continue;
        const double share = static_cast<double>(task->run.recent) / cores;
        busy += share;
        if (task->step->spec->filling)
            beside.push_back({task->step->image, share});
    }
    // Where processors are short the tails say nothing about the pair.
    if (busy > learn_below)
        return;
    for (const serving_view& served : serving)
        slowdowns_.learn(served.image, served.tail_ratio, beside, *served.load, with_.time.now());
}

void cell_coordinator::expire_leases() {
    const instant now = with_.time.now();
    for (const auto& [id, worker] : workers_) {
        const auto clock_ms = worker->clock.at_least(now);
        const std::int64_t slack = lapse_slack.count() / 1000;
        if (!clock_ms || *clock_ms < worker->latest_until_ms + slack)
            worker->over_since = instant{};
        else if (is_settled(worker->over_since))
            end_lease(*worker);
    }
}

/// Whether the log has confirmed this reign since a lease must have been over. A coordinator that
/// is parted from the log and from some workers sees their leases run out while its successor,
/// which it doesn't know of, prolongs them: what it started elsewhere would run twice. A renewal
/// that was confirmed later says that there was no successor.
bool cell_coordinator::is_settled(instant& since) const {
    if (since == instant{})
        since = with_.time.now();
    return with_.confirmed_at() > since;
}

/// Its lease is over by any clock: nothing runs there.
void cell_coordinator::end_lease(worker_work& worker) {
    const worker_id& id = worker.listing.id;
    const std::vector<task_work*> lost(worker.tasks.begin(), worker.tasks.end());
    if (!lost.empty())
        log_event(log_level::warn, "lease_over",
                  {{"worker", id.str()}, {"runs", static_cast<std::int64_t>(lost.size())}});
    for (task_work* const task : lost)
        release(*task);
    // A successor needn't ask it, nor wait for it.
    if (std::exchange(worker.registered, false))
        with_.journal.write({record_key(record_kind::worker, id.str()), std::nullopt, 0});
}

void cell_coordinator::forget_gone_workers() {
    const instant now = with_.time.now();
    std::vector<worker_id> gone;
    for (const auto& [id, worker] : workers_)
        if (!worker->listed && worker->tasks.empty() && !worker->hold_in_flight &&
            !worker->registering && now - worker->reported_at > unlisted_kept)
            gone.push_back(id);
    for (const worker_id& id : gone) {
        log_event(log_level::info, "worker_forgotten", {{"worker", id.str()}});
        with_.orders.forget(id);
        if (workers_[id]->registered)
            with_.journal.write({record_key(record_kind::worker, id.str()), std::nullopt, 0});
        workers_.erase(id);
    }
}

void cell_coordinator::resolve(const worker_id& id) {
    if (unresolved_.erase(id) > 0)
        placement_due_ = true;
}

void cell_coordinator::resolve_expired() {
    // Confirmed since the bound has passed, for the same reason as in `is_settled`.
    const instant confirmed = with_.confirmed_at();
    if (absl::erase_if(unresolved_,
                       [confirmed](const auto& worker) { return confirmed > worker.second; }) > 0)
        placement_due_ = true;
}

/// Whether no earlier coordinator's run of the job's tasks can be anywhere but where reports show
/// it.
bool cell_coordinator::may_start(const job_work& job) const {
    if (!job.may_run_elsewhere)
        return true;
    // A row of a job that isn't known yet may be of this one.
    return unresolved_.empty() && std::ranges::all_of(workers_, [](const auto& entry) {
               return entry.second->strays.has_value();
           });
}

/// What the rows of a report take that aren't runs of ours. They count until they have gone: what
/// is being stopped still has its room. Nothing when a row's job isn't known.
std::optional<resources> cell_coordinator::stray_size(const worker_work& worker,
                                                      const worker_report& report) {
    resources sum;
    for (const running_row& row : report.running) {
        const auto name = parse_task_name(row.task);
        const task_work* const task = name ? find_task(*name) : nullptr;
        if (task == nullptr)
            return std::nullopt;
        if (task->where == &worker && task->run.number == row.run)
            continue;
        resources size = task->step->spec->size;
        size.cpu_millis = task->step->spec->filling ? 0 : size.cpu_millis;
        sum += size;
    }
    return sum;
}

} // namespace figwinch
