#include "cell/cell_coordinator.h"
#include "figwinch/observe.h"

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <cmath>

namespace figwinch {
namespace {

// Starts in one go; the rest follows at the next tick, so that reports are read in between.
constexpr std::size_t most_starts_at_once = 40;
// Serving tasks of one image on one worker leave the others to the filling images that hurt them
// less; worth more than an even spread.
constexpr double other_image_penalty = 1;
constexpr double same_image_bonus = 1;
// Filling work goes where the worst served neighbour is expected to stay within its target at this
// much (a logarithm) above its mean load: half the way up its swing.
constexpr double usual_aim = 0.95;
constexpr double usual_load_margin = 0.25;
// One point of expected slowdown of a neighbour weighs as much as this share of a worker less to
// run on.
constexpr double slowdown_weight = 5;
constexpr double cold_penalty = 1;
constexpr double near_data_bonus = 2;

double share(std::int64_t part, std::int64_t whole) {
    return whole <= 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

/// Lasting tasks that ran before go first. They have to run all the time, so that one that is down
/// has been late for as long, and the room that they take was theirs. New ones go last: a short
/// task gives its room back in seconds, a lasting one keeps it.
void cell_coordinator::place_all() {
    if (!sees_notices()) {
        placement_due_ = true;
        return;
    }
    mark_unresolved();
    vain_searches_.clear();
    const std::vector<waiting_step> waiting = waiting_steps();
    const std::uint64_t most = counts_.starts + most_starts_at_once;
    for (const task_turn turn :
         {task_turn::lasting_again, task_turn::short_task, task_turn::lasting_first})
        if (!place_steps(waiting, turn, most)) {
            placement_due_ = true;
            return;
        }
}

/// Steps whose turn it is and that have tasks without a run, in the order of jobs.
std::vector<cell_coordinator::waiting_step> cell_coordinator::waiting_steps() const {
    std::vector<waiting_step> waiting;
    for (job_work* const job : order_)
        for (const auto& [number, occurrence] : job->occurrences)
            for (step_work& step : occurrence->steps)
                if (step.ready && step.placed < step.left)
                    waiting.push_back({job, &step});
    return waiting;
}

/// Starts tasks whose turn it is. Returns whether all that can be started is, within `most` starts
/// in all.
bool cell_coordinator::place_steps(const std::vector<waiting_step>& waiting, task_turn turn,
                                   std::uint64_t most) {
    const bool lasting = turn != task_turn::short_task;
    for (const auto& [job, step] : waiting) {
        if (step->spec->is_service != lasting || step->placed >= step->left)
            continue;
        if (step->spec->gang && may_start(step->tasks.front()))
            place_gang(*job, *step);
        else if (!step->spec->gang)
            place_step(*job, *step, turn);
        if (counts_.starts + recording_.size() >= most)
            return false;
    }
    return true;
}

bool cell_coordinator::place_step(job_work& job, step_work& step, task_turn turn) {
    const instant now = with_.time.now();
    // Of other steps all tasks are in the same doubt.
    const bool each = has_own_record(*step.spec);
    const bool again = turn == task_turn::lasting_again;
    if (!each && !may_start(step.tasks.front()))
        return false;
    const bool any_worker = log_confirms();
    std::optional<candidates> found;
    for (task_work& task : step.tasks) {
        if (task.progress.done || task.where != nullptr || now < task.not_before ||
            (each && !may_start(task)) || (again && task.progress.assigned_worker.empty()))
            continue;
        if (any_worker && (!found || found->empty()))
            found = search(job, step, rack_id());
        worker_work* const worker = any_worker ? best_of(*found, task) : choose_recorded(job, task);
        if (worker == nullptr) {
            ask_advice(job, task);
            return false;
        }
        start(task, *worker, next_run(), task.progress.checkpoint);
        if (any_worker)
            renew_score(*found, *worker, step);
    }
    return true;
}

/// Starts all members at once under one run, or none.
bool cell_coordinator::place_gang(job_work& job, step_work& step) {
    task_work& first = step.tasks.front();
    if (step.placed > 0 || with_.time.now() < first.not_before)
        return false;
    // Members of a one-rack gang follow the first one's rack; each rack is tried once.
    absl::flat_hash_set<rack_id> racks;
    if (step.spec->one_rack)
        for (const auto& [id, worker] : workers_)
            racks.insert(worker->listing.rack);
    else
        racks.insert(rack_id());
    for (const rack_id& rack : racks) {
        std::vector<worker_work*> chosen;
        for (task_work& task : step.tasks) {
            worker_work* const worker = choose(job, task, rack);
            if (worker == nullptr) {
                ask_advice(job, task);
                break;
            }
            bind(task, *worker);
            chosen.push_back(worker);
        }
        if (chosen.size() == step.tasks.size()) {
            const run_number run = next_run();
            for (std::size_t index = 0; index < chosen.size(); ++index)
                start(step.tasks[index], *chosen[index], run, first.progress.checkpoint);
            return true;
        }
        for (std::size_t index = 0; index < chosen.size(); ++index)
            release(step.tasks[index]);
    }
    placement_due_ = false;
    return false;
}

bool cell_coordinator::usable(const worker_work& worker, const job_work& job) const {
    const instant now = with_.time.now();
    return worker.listed && !worker.listing.leaving && worker.heard && worker.registered &&
           !worker.silent && worker.listing.service == job.service && now >= worker.rest_until &&
           now - worker.reported_at < reported_within &&
           !evacuated_.contains(worker.listing.data_centre);
}

bool cell_coordinator::admits(const worker_work& worker, const step_work& step) const {
    const step_spec& spec = *step.spec;
    resources size = spec.size;
    if (spec.is_best_effort) {
        if (!may_fill(worker, step))
            return false;
        size.cpu_millis = 0;
    }
    // Every dimension counts, on workers that refuse by themselves too.
    if (!worker.strays)
        return false;
    resources room = worker.listing.capacity - worker.taken - *worker.strays;
    if (!spec.is_service)
        room -= worker.kept;
    if (!fits(size, room))
        return false;
    if (!spec.label.empty() && std::ranges::count(worker.listing.labels, spec.label) == 0)
        return false;
    if (spec.max_per_worker == 0)
        return true;
    const auto beside = std::ranges::count_if(
        worker.tasks, [&step](const task_work* other) { return other->step == &step; });
    return static_cast<std::uint32_t>(beside) < spec.max_per_worker;
}

/// How well a task of the step would do on a worker; higher is better.
double cell_coordinator::score(const worker_work& worker, const step_work& step) const {
    const step_spec& spec = *step.spec;
    const resources& capacity = worker.listing.capacity;
    const resources left = capacity - worker.taken;
    double value = 0;
    if (spec.is_best_effort)
        value = score_filling(worker, step);
    else
        value = std::min(share(left.cpu_millis - spec.size.cpu_millis, capacity.cpu_millis),
                         share(left.memory_mib - spec.size.memory_mib, capacity.memory_mib));
    if (spec.latency_target > duration::zero())
        value += score_serving(worker, step);
    if (!spec.preferred_rack.empty() && worker.listing.rack == spec.preferred_rack)
        value += near_data_bonus;
    if (worker.listing.warmup_left > duration::zero())
        value -= cold_penalty;
    return value;
}

/// Serving tasks go where the others suffer from the same neighbours.
double cell_coordinator::score_serving(const worker_work& worker, const step_work& step) const {
    double difference = 0;
    for (const auto& [image, tasks] : worker.serving)
        difference = std::max(difference, slowdowns_.sensitivity_difference(image, step.image));
    const bool same = worker.serving.contains(step.image);
    return (same ? same_image_bonus * (1 - difference) : 0) - difference * other_image_penalty;
}

/// Processors that are left to filling tasks, thousandths: lasting tasks rarely use all of theirs.
std::int64_t cell_coordinator::left_to_fill(const worker_work& worker) const {
    const auto unused =
        static_cast<std::int64_t>(static_cast<double>(worker.lasting_cpu) * (1 - lasting_use));
    return worker.listing.capacity.cpu_millis - worker.taken.cpu_millis + unused -
           worker.filling_cpu;
}

bool cell_coordinator::may_fill(const worker_work& worker, const step_work& step) const {
    // A task that lasts has to run all the time, if slowly: others of its kind that have taken the
    // processors never end, and it would wait for ever.
    if (step.spec->is_service)
        return true;
    if (left_to_fill(worker) < step.spec->size.cpu_millis)
        return false;
    if (!worker.sharing.admits_best_effort(with_.time.now()))
        return false;
    const double more = share(step.spec->size.cpu_millis, worker.listing.capacity.cpu_millis);
    return std::ranges::all_of(worker.serving, [&](const auto& group) {
        const image_number served = group.first;
        const double expected = slowdowns_.total_slowdown(served, worker.filling_images) +
                                slowdowns_.slowdown(served, step.image) * more;
        return expected <= slowdowns_.typical_headroom(served, usual_load_margin, usual_aim);
    });
}

double cell_coordinator::score_filling(const worker_work& worker, const step_work& step) const {
    const std::int64_t cores = worker.listing.capacity.cpu_millis;
    const double more = share(step.spec->size.cpu_millis, cores);
    double worst = 0;
    for (const auto& [served, tasks] : worker.serving)
        worst = std::max(worst, slowdowns_.slowdown(served, step.image) * more);
    return share(left_to_fill(worker), cores) - more - slowdown_weight * worst;
}

/// Lasting tasks on a worker that is about to leave are started elsewhere while it still runs;
/// others may finish there.
void cell_coordinator::leave_leaving_workers() {
    for (const auto& [id, worker] : workers_) {
        if (!worker->listing.leaving)
            continue;
        const std::vector<task_work*> tasks(worker->tasks.begin(), worker->tasks.end());
        for (task_work* const task : tasks)
            if (task->step->spec->is_service)
                request_stop(*task);
    }
}

} // namespace figwinch
