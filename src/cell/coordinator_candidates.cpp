#include "cell/cell_coordinator.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace figwinch {
namespace {

// Workers that admit a step's tasks, of which the best are taken: a hundred and more for a few
// dozen tasks leave little to be gained by more.
constexpr std::size_t most_candidates = 128;
// Bounds a search where few workers admit the tasks.
constexpr std::size_t most_met = 512;
// Of these, workers that serve the image of a serving step already.
constexpr std::size_t most_met_tagged = 128;
constexpr double failed_there_penalty = 10;
// Reports of a worker at work are up to a second apart.
constexpr duration just_reported = std::chrono::milliseconds(600);

} // namespace

void cell_coordinator::add_slot(worker_work& worker) {
    if (unused_slots_.empty()) {
        worker.slot = static_cast<worker_slot>(slots_.size());
        slots_.push_back(&worker);
        return;
    }
    worker.slot = unused_slots_.back();
    unused_slots_.pop_back();
    slots_[worker.slot] = &worker;
}

void cell_coordinator::drop_slot(worker_work& worker) {
    index_.remove(worker.slot);
    slots_[worker.slot] = nullptr;
    unused_slots_.push_back(worker.slot);
}

void cell_coordinator::tag_labels(worker_work& worker) {
    worker.label_tags.clear();
    for (const std::string& label : worker.listing.labels)
        worker.label_tags.push_back(index_.tag("label " + label));
    if (!worker.listing.rack.empty())
        worker.label_tags.push_back(index_.tag("rack " + worker.listing.rack.str()));
    tag_images(worker);
}

void cell_coordinator::tag_images(worker_work& worker) {
    worker.offer.tags = worker.label_tags;
    for (const auto& [image, tasks] : worker.serving)
        worker.offer.tags.push_back(image_tag(image));
}

tag_number cell_coordinator::image_tag(image_number image) {
    while (image_tags_.size() <= image)
        image_tags_.push_back(index_.tag(absl::StrCat("image ", image_tags_.size())));
    return image_tags_[image];
}

/// The conditions of `usable` that don't pass by themselves.
bool cell_coordinator::takes_starts(const worker_work& worker) const {
    return worker.listed && !worker.listing.leaving && worker.heard && worker.registered &&
           !worker.silent && !evacuated_.contains(worker.listing.data_centre);
}

/// Brings the index up to date with a worker.
void cell_coordinator::offer(worker_work& worker) {
    if (!takes_starts(worker))
        return index_.remove(worker.slot);
    worker.offer.service = worker.listing.service;
    worker.offer.free_millis = worker.listing.capacity.cpu_millis - worker.taken.cpu_millis;
    worker.offer.best_effort_millis = left_to_fill(worker);
    index_.put(worker.slot, worker.offer);
}

/// Workers that admit the step's tasks: a bounded number of those that have most room, or serve the
/// same image, or of a sample where what counts is who is beside.
cell_coordinator::candidates cell_coordinator::search(const job_work& job, const step_work& step,
                                                      const rack_id& only_rack) {
    candidates found;
    if (is_vain(job, step))
        return found;
    const std::uint64_t number = ++searches_;
    std::size_t met = 0;
    visit_for(job, step, only_rack, [&](worker_slot slot) {
        worker_work& worker = *slots_[slot];
        if (std::exchange(worker.met_in_search, number) == number)
            return true;
        ++met;
        if (usable(worker, job) && admits(worker, step) && is_advised(worker, job, step))
            found.push_back({&worker, score(worker, step)});
        return found.size() < most_candidates && met < most_met;
    });
    if (found.empty() && only_rack.empty() && may_be_vain(job, step))
        vain_searches_.push_back({job.service, step.image, step.spec->filling, step.spec->size});
    return found;
}

void cell_coordinator::visit_for(const job_work& job, const step_work& step,
                                 const rack_id& only_rack, const candidate_index::visitor& visit) {
    const step_spec& spec = *step.spec;
    const std::int64_t least = spec.filling ? 0 : spec.size.cpu_millis;
    if (!only_rack.empty())
        return index_.visit_tagged(job.service, index_.tag("rack " + only_rack.str()), least,
                                   searches_, visit);
    if (!spec.label.empty())
        return index_.visit_tagged(job.service, index_.tag("label " + spec.label), least, searches_,
                                   visit);
    bool goes_on = true;
    std::size_t tagged = 0;
    const auto visit_tagged = [&](worker_slot slot) {
        goes_on = visit(slot);
        return goes_on && ++tagged < most_met_tagged;
    };
    if (!spec.near_rack.empty())
        index_.visit_tagged(job.service, index_.tag("rack " + spec.near_rack.str()), least,
                            searches_, visit_tagged);
    if (spec.tail_target > duration::zero())
        index_.visit_tagged(job.service, image_tag(step.image), least, searches_, visit_tagged);
    if (!goes_on)
        return;
    // Lasting tasks that fill are taken wherever their memory fits.
    const std::int64_t least_left = spec.lasting ? 0 : spec.size.cpu_millis;
    if (spec.filling)
        index_.visit_best_effort(job.service, least_left, most_met, searches_, visit);
    else
        index_.visit_free(job.service, least, searches_, visit);
}

/// Whether a failed search for one step says that one for another of its kind fails too.
bool cell_coordinator::may_be_vain(const job_work& job, const step_work& step) {
    const step_spec& spec = *step.spec;
    return !spec.lasting && !spec.gang && spec.label.empty() && spec.near_rack.empty() &&
           spec.most_per_worker == 0 && !job.advice;
}

bool cell_coordinator::is_vain(const job_work& job, const step_work& step) const {
    if (!may_be_vain(job, step))
        return false;
    return std::ranges::any_of(vain_searches_, [&](const vain_search& vain) {
        return vain.service == job.service && vain.image == step.image &&
               vain.filling == step.spec->filling && fits(vain.size, step.spec->size);
    });
}

worker_work* cell_coordinator::choose(const job_work& job, const task_work& task,
                                      const rack_id& only_rack) {
    return best_of(search(job, *task.step, only_rack), task);
}

/// While the log is silent nothing can be recorded; what is recorded already can be used.
worker_work* cell_coordinator::choose_recorded(const job_work& job, const task_work& task) {
    const step_work& step = *task.step;
    worker_work* best = nullptr;
    double best_score = 0;
    for (const auto& [id, worker] : workers_) {
        if (!is_recorded_at(task, *worker) || !usable(*worker, job) || !admits(*worker, step) ||
            !is_advised(*worker, job, step))
            continue;
        const double found = score(*worker, step);
        if (best == nullptr || found > best_score) {
            best = worker.get();
            best_score = found;
        }
    }
    return best;
}

worker_work* cell_coordinator::best_of(const candidates& found, const task_work& task) const {
    worker_work* best = nullptr;
    std::pair<bool, double> best_score;
    const bool has_failed = !task.failed_on.front().empty();
    for (const candidate& one : found) {
        std::pair score{is_surely_there(*one.worker, task), one.score};
        if (has_failed && std::ranges::count(task.failed_on, one.worker->listing.id) > 0)
            score.second -= failed_there_penalty;
        if (best == nullptr || score > best_score) {
            best = one.worker;
            best_score = score;
        }
    }
    return best;
}

/// After a task of the step went to the worker.
void cell_coordinator::renew_score(candidates& found, const worker_work& worker,
                                   const step_work& step) const {
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

/// A worker that was lost a moment ago still looks usable, and has room. A lasting task that is
/// started there is down until that start can have no effect any more; so a task that has run
/// before goes to a worker that has just reported, where there is one. First starts come many at a
/// time and are spread over all workers.
bool cell_coordinator::is_surely_there(const worker_work& worker, const task_work& task) const {
    if (!has_own_record(*task.step->spec) || task.progress.ordered_to.empty())
        return true;
    return worker.unanswered == 0 && with_.time.now() - worker.reported_at < just_reported;
}

} // namespace figwinch
