#include "cell/cell_coordinator.h"

#include "cell/crash_history.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace figwinch {
namespace {

// A search stops after this many workers that can run the step's tasks. To choose the best of more
// than a hundred gains little for a few dozen tasks.
constexpr std::size_t max_candidates = 128;
// Maximum number of workers that a search visits if few of them can run the tasks.
constexpr std::size_t max_visited = 512;
// Maximum number of workers that a search visits because they are near the step's data or already
// run its latency-critical image.
constexpr std::size_t max_visited_tagged = 128;
// What a search costs at least, in visits of workers.
constexpr std::size_t min_visits_per_search = 8;
constexpr double failed_there_penalty = 10;
// Maximum age of a report that shows a worker to be responsive; reports of a busy worker are up to
// a second apart.
constexpr duration responsive_report_age = std::chrono::milliseconds(600);

} // namespace

void cell_coordinator::add_slot(worker_state& worker) {
    if (unused_slots_.empty()) {
        worker.slot = static_cast<worker_slot>(slots_.size());
        slots_.push_back(&worker);
        return;
    }
    worker.slot = unused_slots_.back();
    unused_slots_.pop_back();
    slots_[worker.slot] = &worker;
}

void cell_coordinator::remove_slot(worker_state& worker) {
    index_.remove(worker.slot);
    slots_[worker.slot] = nullptr;
    unused_slots_.push_back(worker.slot);
}

void cell_coordinator::update_label_tags(worker_state& worker) {
    worker.label_tags.clear();
    for (const std::string& label : worker.listing.labels)
        worker.label_tags.push_back(index_.tag("label " + label));
    if (!worker.listing.rack.empty())
        worker.label_tags.push_back(index_.tag("rack " + worker.listing.rack.str()));
    update_image_tags(worker);
}

void cell_coordinator::update_image_tags(worker_state& worker) {
    worker.offer.tags = worker.label_tags;
    for (const auto& [image, tasks] : worker.latency_critical_images)
        worker.offer.tags.push_back(image_tag(image));
}

tag_number cell_coordinator::image_tag(image_number image) {
    while (image_tags_.size() <= image)
        image_tags_.push_back(index_.tag(absl::StrCat("image ", image_tags_.size())));
    return image_tags_[image];
}

/// Whether the listing is of the incarnation that reports. Another incarnation may have other
/// labels and another capacity.
bool cell_coordinator::is_listing_current(const worker_state& worker) {
    const std::uint64_t listed = worker.listing.incarnation;
    return listed == 0 || worker.born_ms == 0 || listed == worker.born_ms;
}

/// The conditions of `is_usable` that do not change with time alone.
bool cell_coordinator::accepts_starts(const worker_state& worker) const {
    return worker.listed && !worker.listing.leaving && worker.reported_this_term &&
           worker.registered && !worker.unresponsive && !worker.has_restarted &&
           is_listing_current(worker) && !evacuated_.contains(worker.listing.data_centre);
}

/// Updates the candidate index with the worker's current state.
void cell_coordinator::update_index(worker_state& worker) {
    if (!accepts_starts(worker))
        return index_.remove(worker.slot);
    worker.offer.service = worker.listing.service;
    worker.offer.free_millis = worker.listing.capacity.cpu_millis - worker.allocated.cpu_millis;
    worker.offer.best_effort_millis = best_effort_batch_cpu_left(worker);
    index_.put(worker.slot, worker.offer);
}

/// Returns workers that can run the step's tasks. Visits a bounded number: those with the most free
/// CPU, or that run the same image; for best-effort steps a sample, since the score depends on the
/// tasks that share the worker.
cell_coordinator::candidates cell_coordinator::search(const job_state& job, const step_state& step,
                                                      const rack_id& only_rack) {
    candidates found;
    if (has_failed_search(job, step))
        return found;
    const std::uint64_t number = ++searches_;
    std::size_t visited = 0;
    visit_candidates(job, step, only_rack, [&](worker_slot slot) {
        worker_state& worker = *slots_[slot];
        if (std::exchange(worker.last_search, number) == number)
            return true;
        ++visited;
        ++counts_.workers_examined;
        if (is_usable(worker, job) && admits(worker, step) && is_advised(worker, job, step))
            found.push_back({&worker, score(worker, step)});
        return found.size() < max_candidates && visited < max_visited;
    });
    if (!found.empty())
        return found;
    failed_visits_ += std::max(visited, min_visits_per_search);
    if (only_rack.empty() && is_failure_conclusive(job, step))
        failed_searches_[step.image].push_back(
            {job.service, step.spec->is_best_effort, step.spec->size});
    return found;
}

void cell_coordinator::visit_candidates(const job_state& job, const step_state& step,
                                        const rack_id& only_rack,
                                        const candidate_index::visitor& visit) {
    const step_spec& spec = *step.spec;
    const std::int64_t min_cpu = spec.is_best_effort ? 0 : spec.size.cpu_millis;
    if (!only_rack.empty())
        return index_.visit_tagged(job.service, index_.tag("rack " + only_rack.str()), min_cpu,
                                   searches_, visit);
    if (!spec.label.empty())
        return index_.visit_tagged(job.service, index_.tag("label " + spec.label), min_cpu,
                                   searches_, visit);
    bool continue_search = true;
    std::size_t tagged = 0;
    const auto visit_tagged = [&](worker_slot slot) {
        continue_search = visit(slot);
        return continue_search && ++tagged < max_visited_tagged;
    };
    if (!spec.preferred_rack.empty())
        index_.visit_tagged(job.service, index_.tag("rack " + spec.preferred_rack.str()), min_cpu,
                            searches_, visit_tagged);
    if (spec.latency_target > duration::zero())
        index_.visit_tagged(job.service, image_tag(step.image), min_cpu, searches_, visit_tagged);
    if (!continue_search)
        return;
    // Best-effort service tasks are placed wherever their memory fits.
    // Those of overdue jobs share the CPU with the others there.
    const std::int64_t min_cpu_left = spec.is_service || step.is_overdue ? 0 : spec.size.cpu_millis;
    if (spec.is_best_effort)
        index_.visit_best_effort(job.service, min_cpu_left, max_visited, searches_, visit);
    else
        index_.visit_free(job.service, min_cpu, searches_, visit);
}

/// Returns whether a failed search for this step implies that searches for similar steps fail too.
bool cell_coordinator::is_failure_conclusive(const job_state& job, const step_state& step) {
    const step_spec& spec = *step.spec;
    return !spec.is_service && !spec.gang && !step.is_overdue && spec.label.empty() &&
           spec.preferred_rack.empty() && spec.max_per_worker == 0 && !job.advice;
}

bool cell_coordinator::has_failed_search(const job_state& job, const step_state& step) const {
    if (!is_failure_conclusive(job, step))
        return false;
    const auto of_image = failed_searches_.find(step.image);
    if (of_image == failed_searches_.end())
        return false;
    return std::ranges::any_of(of_image->second, [&](const failed_search& failed) {
        return failed.service == job.service && failed.best_effort == step.spec->is_best_effort &&
               fits(failed.size, step.spec->size);
    });
}

worker_state* cell_coordinator::choose_worker(const job_state& job, const task_state& task,
                                              const rack_id& only_rack) {
    const candidates found = search(job, *task.step, only_rack);
    if (is_crash_suspect(crash_record_of(task)))
        return log_confirms() ? best_trial_worker(trial_candidates(found), task) : nullptr;
    return best_candidate(without_kept_workers(found), task);
}

/// Chooses a worker that the log already names for the task. Used while the log does not answer,
/// when no other worker can be recorded.
worker_state* cell_coordinator::choose_recorded(const job_state& job, const task_state& task) {
    const step_state& step = *task.step;
    const bool is_named =
        has_record_per_task(*step.spec) ? task.recorded : !job.recorded_to.empty();
    if (!is_named)
        return nullptr;
    worker_state* best = nullptr;
    double best_score = 0;
    for (const auto& [id, worker] : workers_) {
        if (is_kept_for_trial(*worker) || !is_recorded_at(task, *worker) ||
            !is_usable(*worker, job) || !admits(*worker, step) || !is_advised(*worker, job, step))
            continue;
        const double found = score(*worker, step);
        if (best == nullptr || found > best_score) {
            best = worker.get();
            best_score = found;
        }
    }
    if (best == nullptr)
        failed_visits_ += workers_.size();
    return best;
}

worker_state* cell_coordinator::best_candidate(const candidates& found,
                                               const task_state& task) const {
    worker_state* best = nullptr;
    std::pair<bool, double> best_score;
    for (const candidate& one : found) {
        std::pair score{is_known_responsive(*one.worker, task), one.score};
        if (std::ranges::count(task.failed_on, one.worker->listing.id) > 0)
            score.second -= failed_there_penalty;
        if (best == nullptr || score > best_score) {
            best = one.worker;
            best_score = score;
        }
    }
    return best;
}

/// Updates the worker's score after a task of the step was placed on it; removes it if it is full.
void cell_coordinator::update_score(candidates& found, const worker_state& worker,
                                    const step_state& step) const {
    const auto known = std::ranges::find(found, &worker, &candidate::worker);
    if (known == found.end())
        return;
    if (admits(worker, step)) {
        known->score = score(worker, step);
        return;
    }
    *known = found.back();
    found.pop_back();
}

/// Returns whether a worker is likely to be responsive. One that was lost a moment ago still looks
/// usable and has free resources, and a service task started there is down until the start order
/// has expired. So a task that ran before prefers a worker that has just reported. First starts
/// come many at a time and are spread over all workers.
bool cell_coordinator::is_known_responsive(const worker_state& worker,
                                           const task_state& task) const {
    if (!has_record_per_task(*task.step->spec) || task.progress.assigned_worker.empty())
        return true;
    return worker.unanswered_renewals == 0 &&
           deps_.time.now() - worker.reported_at < responsive_report_age;
}

} // namespace figwinch
