// Submissions, cancellations and questions of callers: `scheduler_core`.

#include "scheduler/scheduler_core.h"

#include "scheduler/spec_values.h"

#include <google/protobuf/util/message_differencer.h>

#include <algorithm>

namespace figwinch {
namespace {

constexpr int max_tasks = 100'000;

std::string_view name_of(const task_slot& slot) {
    switch (slot.phase) {
    case task_phase::active:
        return "running";
    case task_phase::done:
        return slot.failed ? "failed" : "finished";
    default:
        return "queued";
    }
}

} // namespace

absl::Status scheduler_core::check_spec(const pb::JobSpec& spec) const {
    if (!is_key_part(spec.id()) || !is_key_part(spec.customer()))
        return make_error(result_code::invalid_value,
                          "id and customer must not be empty or hold a slash");
    if (spec.tasks() < 1 || spec.tasks() > max_tasks)
        return make_error(result_code::invalid_value, "tasks must be 1 to 100000");
    const resources size = size_of(spec);
    if (size.cpu_millis < 1 || size.memory_mib < 1 || size.accelerators < 0)
        return make_error(result_code::invalid_value, "size must be above zero");
    if (!spec.job_class().empty() && !parse_work_class(spec.job_class()))
        return make_error(result_code::invalid_value,
                          "job_class must be urgent, normal, bulk or service");
    return absl::OkStatus();
}

absl::Status scheduler_core::check_limits(const pb::JobSpec& spec) const {
    const auto config = config_.current();
    if (!config)
        return make_error(result_code::state_not_recovered, "no configuration is known yet");
    std::vector<data_centre_id> allowed;
    for (const std::string& centre : spec.data_centres())
        allowed.emplace_back(centre);
    const resources size = size_of(spec);
    if (const auto refusal = check_shape(*config, size, allowed))
        return make_error(result_code::job_fits_no_worker, refusal->reason);
    const customer_id customer(spec.customer());
    const customer_spec* bounds = figwinch::find(*config, customer);
    if (!bounds)
        return absl::OkStatus();
    if (bounds->quota && !fits(size, *bounds->quota))
        return make_error(result_code::job_over_quota, "one task of " + to_string(size) +
                                                           " is above the customer's quota of " +
                                                           to_string(*bounds->quota));
    if (fold_.open_jobs_of(customer) >= bounds->max_queued_jobs)
        return make_error(result_code::job_over_quota, "the customer has " +
                                                           std::to_string(bounds->max_queued_jobs) +
                                                           " jobs that are not done, its bound");
    return absl::OkStatus();
}

void scheduler_core::submit(const pb::JobSpec& spec, reply_handler done, instant now) {
    if (is_manifest_job_id(spec.id()))
        return done(make_error(result_code::invalid_value,
                               "ids that begin with \"" + std::string(manifest_job_prefix) +
                                   "\" are kept for jobs of the manifest"),
                    {});
    accept(spec, std::move(done), now);
}

void scheduler_core::accept(const pb::JobSpec& spec, reply_handler done, instant now) {
    now_ = now;
    if (const absl::Status status = check_spec(spec); !status.ok())
        return done(status, {});
    if (!recovered_ || deposed_ || stopping_)
        return done(make_error(result_code::state_not_recovered, "not taking jobs now"), {});
    const job_key key = make_job_key(spec.customer(), spec.id());
    if (const job_record* known = fold_.find(key)) {
        if (!google::protobuf::util::MessageDifferencer::Equals(known->spec, spec))
            return done(make_error(result_code::job_conflict, "the id is taken: " + key.str()), {});
        return done(absl::OkStatus(), *show(key));
    }
    if (const absl::Status status = check_limits(spec); !status.ok())
        return done(status, {});
    const auto [first, last] = requests_.equal_range(key);
    const bool asked =
        std::any_of(first, last, [](const auto& one) { return !one.second.cancelling; });
    requests_.emplace(key, waiting_request{std::move(done), now + with_.request_timeout, spec});
    if (asked)
        return;
    pb::JobEvent event;
    *event.mutable_accepted()->mutable_spec() = spec;
    writer_.add(std::move(event));
}

void scheduler_core::cancel(const job_key& key, reply_handler done, instant now) {
    now_ = now;
    const job_record* job = fold_.find(key);
    if (!job)
        return done(make_error(result_code::not_found, "no such job: " + key.str()), {});
    if (job->is_done())
        return done(absl::OkStatus(), *show(key));
    if (!is_mine(*job) || deposed_)
        return done(make_error(result_code::no_scheduler, "owned by " + job->owner.str()), {});
    const auto [first, last] = requests_.equal_range(key);
    const bool asked =
        std::any_of(first, last, [](const auto& one) { return one.second.cancelling; });
    requests_.emplace(
        key, waiting_request{std::move(done), now + with_.request_timeout, job->spec, true});
    if (asked)
        return;
    pb::JobEvent event;
    event.mutable_cancelled()->set_job(job->spec.id());
    event.mutable_cancelled()->set_customer(job->spec.customer());
    writer_.add(std::move(event));
}

void scheduler_core::answer(const job_key& key, bool cancelling, const absl::Status& status) {
    std::vector<waiting_request> ready;
    auto [place, last] = requests_.equal_range(key);
    while (place != last) {
        if (place->second.cancelling != cancelling) {
            ++place;
            continue;
        }
        ready.push_back(std::move(place->second));
        place = requests_.erase(place);
    }
    for (const waiting_request& one : ready) {
        const job_record* job = fold_.find(key);
        if (!job) {
            one.done(status, {});
            continue;
        }
        const bool same = google::protobuf::util::MessageDifferencer::Equals(job->spec, one.spec);
        if (same)
            one.done(status, *show(key));
        else
            one.done(make_error(result_code::job_conflict, "the id is taken: " + key.str()), {});
    }
}

// "Not accepted" is said only when the record surely never left this process.
void scheduler_core::expire_requests(instant now) {
    std::set<std::pair<job_key, bool>> late;
    for (const auto& [key, one] : requests_) {
        if (now >= one.deadline)
            late.emplace(key, one.cancelling);
    }
    for (const auto& entry : late) {
        const job_key& key = entry.first;
        const bool cancelling = entry.second;
        const auto mine = [&key, cancelling](const pb::JobEvent& event) {
            if (cancelling)
                return event.has_cancelled() &&
                       make_job_key(event.cancelled().customer(), event.cancelled().job()) == key;
            return event.has_accepted() && make_job_key(event.accepted().spec().customer(),
                                                        event.accepted().spec().id()) == key;
        };
        const bool withdrawn = writer_.withdraw(mine) > 0;
        const result_code code = withdrawn ? result_code::job_not_kept : result_code::log_silent;
        answer(key, cancelling, make_error(code, std::string(info(code).meaning)));
    }
}

absl::StatusOr<pb::JobView> scheduler_core::show(const job_key& key) const {
    const job_record* job = fold_.find(key);
    if (!job)
        return make_error(result_code::not_found, "no such job: " + key.str());
    pb::JobView view;
    *view.mutable_spec() = job->spec;
    view.set_owner(job->owner.str());
    const job_entry* entry = book_.find(key);
    bool failed = false;
    for (const auto& [index, outcome] : job->tasks)
        failed = failed || (outcome.final && outcome.end != pb::TASK_END_FINISHED);
    view.set_state("queued");
    if (entry && entry->active > 0)
        view.set_state("running");
    if (job->cancelled) {
        view.set_state("cancelled");
        view.set_code(number(result_code::job_cancelled));
    } else if (job->is_done()) {
        view.set_state(failed ? "failed" : "finished");
        if (failed)
            view.set_code(number(result_code::job_failed_everywhere));
    }
    for (int i = 0; i < job->spec.tasks(); ++i) {
        pb::TaskView& task = *view.add_tasks();
        task.set_index(i);
        if (entry) {
            const task_slot& slot = entry->tasks[static_cast<std::size_t>(i)];
            task.set_state(std::string(name_of(slot)));
            task.set_attempt(slot.attempt.value());
            task.set_worker(slot.worker.str());
            task.set_checkpoint(slot.checkpoint);
            continue;
        }
        const auto outcome = job->tasks.find(i);
        task.set_state(job->cancelled ? "cancelled" : "queued");
        if (outcome == job->tasks.end())
            continue;
        task.set_attempt(outcome->second.attempt.value());
        task.set_worker(outcome->second.worker);
        task.set_checkpoint(outcome->second.checkpoint);
        if (outcome->second.final)
            task.set_state(outcome->second.end == pb::TASK_END_FINISHED ? "finished" : "failed");
    }
    return view;
}

pb::JobList scheduler_core::list(const customer_id& customer, int limit) const {
    pb::JobList out;
    for (const auto& [key, job] : fold_.jobs()) {
        if (out.jobs_size() >= limit)
            break;
        if (job.spec.customer() != customer.str())
            continue;
        pb::JobView& view = *out.add_jobs();
        view = *show(key);
        view.clear_tasks();
    }
    return out;
}

incarnation_id scheduler_core::owner_of(const job_key& key) const {
    const job_record* job = fold_.find(key);
    return job ? job->owner : incarnation_id{};
}

} // namespace figwinch
