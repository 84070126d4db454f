#include "cell/cell_coordinator.h"
#include "cell/crash_history.h"
#include "figwinch/observe.h"

#include <algorithm>
#include <array>
#include <utility>

namespace figwinch {
namespace {

// A best-effort task is placed where the worst affected latency-critical task is expected to stay
// below this fraction of its latency target at this margin (a logarithm) above its mean load: half
// of its load's swing.
constexpr double target_fraction = 0.95;
constexpr double load_margin = 0.25;
// One unit of expected slowdown of a neighbour weighs as much as this share of a worker's CPU.
constexpr double slowdown_weight = 5;
// A job that is overdue by `max_idle_time` waits longer while most of the workers' CPU is in use,
// since it may then find room when others end.
constexpr duration max_idle_time_when_busy = std::chrono::seconds(10);
// Starts of overdue jobs in a round, jobs for which workers are searched, and jobs looked at.
constexpr int max_overdue_starts = 8;
constexpr int max_overdue_tries = 32;
constexpr std::size_t max_overdue_examined = 256;
// Ranks workers on which best-effort tasks are paused behind all others.
constexpr double paused_penalty = 100;
constexpr duration waiting_log_period = std::chrono::seconds(1);

double share(std::int64_t part, std::int64_t whole) {
    return whole <= 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

/// Returns the CPU that a task takes from other best-effort tasks, in thousandths of a core.
std::int64_t cell_coordinator::best_effort_millis(const task_state& task) {
    const std::int64_t full = task.step->spec->size.cpu_millis;
    return task.is_throttled_start ? full * throttled_start_percent / 100 : full;
}

/// Returns the CPU left to best-effort tasks, in thousandths of a core. Includes what service tasks
/// have requested but rarely use.
std::int64_t cell_coordinator::best_effort_cpu_left(const worker_state& worker) const {
    const auto unused = static_cast<std::int64_t>(static_cast<double>(worker.service_cpu) *
                                                  (1 - service_cpu_utilisation));
    return worker.listing.capacity.cpu_millis - worker.allocated.cpu_millis + unused -
           worker.best_effort_cpu;
}

/// The same for batch tasks. Best-effort services are throttled before these, and never return
/// their CPU.
std::int64_t cell_coordinator::best_effort_batch_cpu_left(const worker_state& worker) const {
    return best_effort_cpu_left(worker) + worker.best_effort_service_cpu;
}

/// The same if every throttled start there worked at full speed; negative where they can't.
std::int64_t cell_coordinator::unthrottled_cpu_left(const worker_state& worker) const {
    std::int64_t left = best_effort_batch_cpu_left(worker);
    for (const task_state* const task : worker.tasks)
        if (task->is_throttled_start)
            left -= task->step->spec->size.cpu_millis - best_effort_millis(*task);
    return left;
}

cell_coordinator::best_effort_check
cell_coordinator::check_best_effort(const worker_state& worker, const step_state& step) const {
    // A best-effort service task has to run all the time, if slowly. Others of its kind that have
    // taken the CPU never end, so a wait for free CPU could last forever.
    if (step.spec->is_service)
        return best_effort_check::admitted;
    if (step.is_overdue)
        return check_overdue(worker, step);
    if (best_effort_batch_cpu_left(worker) < step.spec->size.cpu_millis)
        return best_effort_check::cpu;
    if (!worker.sharing.admits_best_effort(deps_.time.now()))
        return best_effort_check::paused;
    const double added_share =
        share(step.spec->size.cpu_millis, worker.listing.capacity.cpu_millis);
    const bool harmless =
        std::ranges::all_of(worker.latency_critical_images, [&](const auto& group) {
            const image_number served = group.first;
            const double expected = slowdowns_.total_slowdown(served, worker.best_effort_images) +
                                    slowdowns_.slowdown(served, step.image) * added_share;
            return expected <= slowdowns_.typical_headroom(served, load_margin, target_fraction);
        });
    return harmless ? best_effort_check::admitted : best_effort_check::harm;
}

/// Checks a throttled start for an overdue job. It harms little, unless the services there are over
/// their targets already, or another run is being stopped and works at its own speed until then.
/// While most of the workers' CPU is in use, each worker takes one such job at a time.
cell_coordinator::best_effort_check cell_coordinator::check_overdue(const worker_state& worker,
                                                                    const step_state& step) const {
    // Members of one gang count as one.
    const bool has_other = std::ranges::any_of(worker.tasks, [&step](const task_state* task) {
        return task->is_throttled_start && task->step != &step;
    });
    if (is_busy_ && has_other)
        return best_effort_check::throttled_starts;
    // Further tasks of a job that has one at work only take CPU that nobody else has a use for.
    const bool has_runs = !step.spec->gang && step.tasks.front().job->assigned > 0;
    if (has_runs && unthrottled_cpu_left(worker) < step.spec->size.cpu_millis)
        return best_effort_check::cpu;
    const bool stopping = std::ranges::any_of(worker.tasks, [](const task_state* task) {
        return task->step->spec->is_best_effort &&
               task->run.current_phase == task_run::phase::stopping;
    });
    const duration idle = deps_.time.now() - step.tasks.front().job->last_usual_run_at;
    const bool paused = !worker.sharing.admits_best_effort(deps_.time.now());
    if (stopping || (paused && idle < max_idle_time_when_busy))
        return best_effort_check::paused;
    return best_effort_check::admitted;
}

double cell_coordinator::score_best_effort(const worker_state& worker,
                                           const step_state& step) const {
    const std::int64_t cores = worker.listing.capacity.cpu_millis;
    const double added_share = share(step.spec->size.cpu_millis, cores);
    double worst = 0;
    for (const auto& [served, tasks] : worker.latency_critical_images)
        worst = std::max(worst, slowdowns_.slowdown(served, step.image) * added_share);
    const double score =
        share(best_effort_cpu_left(worker), cores) - added_share - slowdown_weight * worst;
    if (!step.is_overdue)
        return score;
    // Throttled starts are spread: each works at full speed until it is throttled.
    const auto throttled = std::ranges::count_if(worker.tasks, &task_state::is_throttled_start);
    const bool paused = !worker.sharing.admits_best_effort(deps_.time.now());
    return score - static_cast<double>(throttled) - (paused ? paused_penalty : 0);
}

/// Notes whether service and batch tasks use most of the CPU of the workers that take tasks.
void cell_coordinator::update_busy() {
    std::int64_t capacity = 0;
    std::int64_t used = 0;
    for (const auto& [id, worker] : workers_) {
        if (!accepts_starts(*worker))
            continue;
        capacity += worker->listing.capacity.cpu_millis;
        used += worker->allocated.cpu_millis;
    }
    is_busy_ = used * 2 >= capacity;
}

/// Starts one task, or one gang, of each best-effort job that has had none but throttled starts for
/// too long: the expected harm to latency-critical tasks may keep it from every worker for good.
/// The jobs that are overdue for longest come first, and are tried again, since a wide one would
/// take very long with one slow task at a time.
void cell_coordinator::start_overdue_jobs() {
    const instant now = deps_.time.now();
    if (now < next_overdue_)
        return;
    next_overdue_ = now + overdue_period;
    update_busy();
    std::vector<job_state*> due;
    for (const auto& [order, job] : queues_.idle()) {
        if (order.at > now || due.size() == max_overdue_examined)
            break;
        due.push_back(job);
    }
    counts_.jobs_examined += due.size();
    int started = 0;
    int tried = 0;
    for (job_state* const job : due) {
        if (started == max_overdue_starts || tried == max_overdue_tries)
            break;
        const bool too_early =
            (is_busy_ && now - job->last_usual_run_at < max_idle_time_when_busy) ||
            (job->assigned > 0 && useful_job_waits());
        const bool has_started = !too_early && start_overdue(*job);
        started += has_started ? 1 : 0;
        tried += too_early ? 0 : 1;
        job->next_overdue_try = now + overdue_period;
        if (has_started)
            job->last_overdue_start_at = now;
        mark_changed(*job);
    }
    requeue_changed();
}

/// Whether a job waits that can still be of use to its callers. The CPU is for such jobs first.
bool cell_coordinator::useful_job_waits() const {
    return !queues_.by_wait().empty() && !queues_.by_wait().begin()->first.lost;
}

/// Starts one task or gang of an overdue job, throttled from the start, so that it harms little,
/// and faster when its neighbours allow it. A job that is overdue because starts are limited begins
/// as usual where a worker admits it.
bool cell_coordinator::start_overdue(job_state& job) {
    for (const auto& [number, occurrence] : job.occurrences) {
        for (step_state& step : occurrence->steps) {
            if (job.phase != job_phase::open || !step.ready || step.unfinished == 0 ||
                !step.spec->is_best_effort || step.spec->is_service ||
                !may_start(step.tasks.front()))
                continue;
            if (starts_limited_ && start_overdue_step(job, step, false))
                return true;
            if (start_overdue_step(job, step, true))
                return true;
        }
    }
    return false;
}

bool cell_coordinator::start_overdue_step(job_state& job, step_state& step, bool throttled) {
    step.is_overdue = throttled;
    const bool started = step.spec->gang ? place_gang(job, step) : start_overdue_task(job, step);
    step.is_overdue = false;
    return started;
}

/// Whether a worker admits the step's tasks other than as throttled starts: suspects among them
/// wait for their trials then.
bool cell_coordinator::is_admitted_as_usual(const job_state& job, step_state& step) {
    const bool overdue = std::exchange(step.is_overdue, false);
    const bool admitted = !search(job, step, rack_id()).empty();
    step.is_overdue = overdue;
    return admitted;
}

bool cell_coordinator::start_overdue_task(job_state& job, step_state& step) {
    const auto is_startable = [this](const task_state& task) {
        return !task.progress.done && task.assigned_worker == nullptr &&
               deps_.time.now() >= task.not_before;
    };
    const auto startable = std::ranges::find_if(step.tasks, [&](const task_state& task) {
        return is_startable(task) && !is_crash_suspect(task.progress);
    });
    if (startable == step.tasks.end()) {
        const auto suspect = std::ranges::find_if(step.tasks, is_startable);
        if (suspect == step.tasks.end() || is_admitted_as_usual(job, step))
            return false;
        start_trial(job, *suspect);
        return suspect->assigned_worker != nullptr;
    }
    worker_state* const worker = log_confirms() ? choose_worker(job, *startable, rack_id())
                                                : choose_recorded(job, *startable);
    if (worker == nullptr) {
        request_advice(job, *startable);
        return false;
    }
    start(*startable, *worker, next_run(), startable->progress.checkpoint);
    return true;
}

/// Logs, once a second, the best-effort job that has had no run for longest, and how many workers
/// turn its next step down for which reason.
void cell_coordinator::log_waiting_best_effort() {
    const instant now = deps_.time.now();
    if (now < next_best_effort_log_)
        return;
    next_best_effort_log_ = now + waiting_log_period;
    const step_state* longest = nullptr;
    std::int64_t waiting = 0;
    for (const job_state* const job : open_jobs_) {
        const step_state* const step = idle_best_effort_step(*job);
        if (step == nullptr)
            continue;
        ++waiting;
        if (longest == nullptr ||
            job->last_usual_run_at < longest->tasks.front().job->last_usual_run_at)
            longest = step;
    }
    if (longest == nullptr)
        return;
    const job_state& job = *longest->tasks.front().job;
    std::array<std::int64_t, best_effort_checks> turned_down{};
    for (const auto& [id, worker] : workers_)
        if (is_usable(*worker, job))
            ++turned_down[static_cast<std::size_t>(check_best_effort(*worker, *longest))];
    const auto count = [&](best_effort_check check) {
        return turned_down[static_cast<std::size_t>(check)];
    };
    log_event(log_level::info, "best_effort_waits",
              {{"jobs", waiting},
               {"longest", job.id.str()},
               {"idle_ms", (now - job.last_usual_run_at) / std::chrono::milliseconds(1)},
               {"cpu_millis", longest->spec->size.cpu_millis},
               {"workers_admit", count(best_effort_check::admitted)},
               {"workers_lack_cpu", count(best_effort_check::cpu)},
               {"workers_paused", count(best_effort_check::paused)},
               {"workers_harmed", count(best_effort_check::harm)}});
}

/// Returns a ready best-effort step of a job that has had no run for `max_idle_time`, or null.
const step_state* cell_coordinator::idle_best_effort_step(const job_state& job) const {
    if (deps_.time.now() - job.last_usual_run_at < max_idle_time || job.assigned > 0)
        return nullptr;
    for (const auto& [number, occurrence] : job.occurrences)
        for (const step_state& step : occurrence->steps)
            if (step.ready && step.unfinished > 0 && step.spec->is_best_effort &&
                !step.spec->is_service)
                return &step;
    return nullptr;
}

} // namespace figwinch
