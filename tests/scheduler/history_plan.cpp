#include "tests/scheduler/history.h"

#include <algorithm>

namespace figwinch::testing {

using namespace std::chrono_literals;

namespace {

/// How long after a data centre was taken out, or a cancellation answered, a start may still
/// arrive: the freshness limit, and the way of the command.
constexpr duration few_seconds = 5s;
constexpr duration settle_limit = 6min;
constexpr duration caller_patience = 4s;
constexpr int max_tries = 200;
constexpr duration drain_limit = 10s;
constexpr int schedulers_per_centre[] = {3, 1};
constexpr int workers_per_centre[] = {4, 2};

} // namespace

void history::build() {
    manifest_ = std::make_shared<manifest>();
    for (int centre = 0; centre < 2; ++centre) {
        const std::string name = "dc" + std::to_string(centre + 1);
        manifest_->data_centres.push_back({data_centre_id(name), true});
        for (int i = 0; i < workers_per_centre[centre]; ++i) {
            worker_spec spec;
            spec.name = worker_id(name + "-w" + std::to_string(i + 1));
            spec.data_centre = data_centre_id(name);
            spec.rack = rack_id(name + "-r" + std::to_string(i / 2 + 1));
            spec.capacity = {4000, 8192, 1};
            manifest_->workers.push_back(spec);
            worker one;
            one.spec = spec;
            standin::worker_model_settings with;
            with.name = spec.name;
            with.capacity = spec.capacity;
            with.admission = with_.worker_admission;
            one.model = std::make_unique<standin::worker_model>(with, now_);
            workers_.push_back(std::move(one));
        }
        for (int i = 0; i < schedulers_per_centre[centre]; ++i) {
            node one;
            one.name = node_id(name + "-s" + std::to_string(i + 1));
            one.centre = data_centre_id(name);
            nodes_.push_back(std::move(one));
        }
    }
    for (node& one : nodes_)
        launch(one);
    plan_jobs();
    plan_disasters();
    for (int i = 0; i < with_.faults; ++i) {
        const instant when =
            began_ + std::chrono::milliseconds(pick(3000, with_.length.count() / 1000 - 1000));
        at(when, [this] { plan_fault(); });
    }
}

void history::plan_disasters() {
    if (with_.drain_at > duration{}) {
        at(began_ + with_.drain_at, [this] { set_centre(data_centre_id("dc1"), false); });
        at(began_ + with_.drain_at + drain_limit, [this] { check_drained(); });
    }
    if (with_.kill_all_at == duration{})
        return;
    at(began_ + with_.kill_all_at, [this] {
        for (node& one : nodes_)
            kill(one);
    });
    at(began_ + with_.kill_all_at + 5s, [this] {
        for (node& one : nodes_)
            launch(one);
    });
}

// With no other fault, a data centre is empty soon after it was taken out.
void history::check_drained() {
    for (const worker& one : workers_) {
        if (one.spec.data_centre == data_centre_id("dc1") && !one.model->running().empty())
            violate(one.spec.name.str() + " still runs tasks of a data centre taken out");
    }
}

void history::plan_jobs() {
    for (int i = 0; i < with_.jobs; ++i) {
        pb::JobSpec spec;
        spec.set_id("job" + std::to_string(i));
        spec.set_customer(chance(0.5) ? "studio" : "haulier");
        spec.set_template_name("render");
        spec.set_job_class(chance(0.3) ? "urgent" : "normal");
        spec.mutable_size()->set_cpu_millis(pick(1, 3) * 1000);
        spec.mutable_size()->set_memory_mib(pick(512, 4096));
        spec.set_tasks(static_cast<int>(pick(1, 3)));
        spec.set_work_ms(pick(2000, 25000));
        spec.set_checkpointable(chance(0.8));
        const instant when =
            began_ + std::chrono::milliseconds(pick(500, with_.length.count() / 2000));
        at(when, [this, spec] { submit(spec, 0); });
        if (with_.cancellations && chance(0.15)) {
            at(when + std::chrono::milliseconds(pick(1000, 15000)),
               [this, id = spec.customer() + '/' + spec.id()] { cancel(id, 0); });
        }
    }
}

// A caller that gets no answer, or a refusal, sends the same job again to another scheduler.
void history::submit(const pb::JobSpec& spec, int tries) {
    const std::string key = spec.customer() + '/' + spec.id();
    jobs_[key].spec = spec;
    if (jobs_[key].accepted || tries > max_tries)
        return;
    at(now_ + caller_patience, [this, spec, tries] { submit(spec, tries + 1); });
    node& one =
        nodes_[static_cast<std::size_t>(pick(0, static_cast<std::int64_t>(nodes_.size()) - 1))];
    if (!one.alive || now_ < one.frozen_until)
        return;
    const auto done = [this, key](const absl::Status& status, const pb::JobView&) {
        jobs_[key].accepted = jobs_[key].accepted || status.ok();
    };
    one.core->submit(spec, done, now_);
}

void history::cancel(const std::string& job, int tries) {
    if (tries > 60)
        return;
    const auto again = [this, job, tries] {
        at(now_ + 1s, [this, job, tries] { cancel(job, tries + 1); });
    };
    for (node& one : nodes_) {
        if (!one.alive || now_ < one.frozen_until ||
            one.core->owner_of(job_key(job)) != one.incarnation)
            continue;
        one.core->cancel(
            job_key(job),
            [this, job, again](const absl::Status& status, const pb::JobView& view) {
                if (!status.ok())
                    return again();
                if (view.state() == "cancelled" && !jobs_[job].cancelled) {
                    jobs_[job].cancelled = true;
                    jobs_[job].cancelled_at = now_;
                }
            },
            now_);
        return;
    }
    again();
}

void history::set_centre(const data_centre_id& centre, bool in) {
    auto next = std::make_shared<manifest>(*manifest_);
    for (data_centre_spec& spec : next->data_centres) {
        if (spec.name == centre)
            spec.in_service = in;
    }
    manifest_ = next;
    version_ = version_.next();
    log_needed_until_ = now_ + 2s;
    if (in)
        out_since_.erase(centre);
    else
        out_since_.emplace(centre, now_);
}

void history::plan_fault() {
    const auto pick_node = [this]() -> node& {
        return nodes_[static_cast<std::size_t>(
            pick(0, static_cast<std::int64_t>(nodes_.size()) - 1))];
    };
    const auto pick_worker = [this]() -> worker& {
        return workers_[static_cast<std::size_t>(
            pick(0, static_cast<std::int64_t>(workers_.size()) - 1))];
    };
    const duration span = std::chrono::milliseconds(pick(2000, 40000));
    node& one = pick_node();
    worker& hurt = pick_worker();
    switch (pick(0, 8)) {
    case 0:
        if (!with_.crashes || !one.alive)
            return;
        kill(one);
        at(now_ + span / 2, [this, index = index_of(one)] { launch(nodes_[index]); });
        return;
    case 1:
        if (with_.freezes)
            one.frozen_until = now_ + span;
        return;
    case 2:
        if (!with_.partitions)
            return;
        (chance(0.5) ? one.cut_log_until : one.cut_peers_until) = now_ + span;
        if (chance(0.3))
            one.cut_log_until = one.cut_peers_until = now_ + span;
        return;
    case 3:
        if (with_.partitions)
            one.cut_workers_until = now_ + span;
        return;
    case 4:
        // A change that no process reads before an outage stays unseen until the log is back
        // (docs/DESIGN.md), so a drain is given the time of two polls.
        if (!with_.log_outages || now_ < log_needed_until_)
            return;
        log_.available = false;
        at(now_ + span, [this] { log_.available = true; });
        return;
    case 5:
        if (!with_.worker_faults)
            return;
        (chance(0.5) ? hurt.cut_until : hurt.frozen_until) = now_ + span;
        return;
    case 6:
        if (with_.worker_faults)
            hurt.model->restart(hurt.model->epoch() + 1000, now_);
        return;
    case 7: {
        if (!with_.drains || !log_.available || !out_since_.empty())
            return;
        ++drains_;
        const data_centre_id centre(chance(0.7) ? "dc1" : "dc2");
        set_centre(centre, false);
        at(now_ + span, [this, centre] { set_centre(centre, true); });
        return;
    }
    default:
        if (!with_.planned_stops || !one.alive || now_ < one.frozen_until)
            return;
        one.stopping = true;
        one.core->begin_stop(now_);
    }
}

void history::on_started(const worker& one, const pb::StartTask& start) {
    ++starts_;
    const std::string& task = start.key().task();
    const std::string key = task.substr(0, task.rfind('/'));
    if (!start.checkpoint().empty())
        ++resumed_;
    for (const auto& [attempt, where] : attempts_[task]) {
        if (attempt >= start.key().attempt())
            violate(where + " had a newer attempt of a task that started");
    }
    attempts_[task].insert({start.key().attempt(), one.spec.name.str()});
    const auto out = out_since_.find(one.spec.data_centre);
    if (out != out_since_.end() && now_ > out->second + few_seconds)
        violate(task + " started after its data centre was taken out");
    const tracked_job& job = jobs_[key];
    if (job.cancelled && now_ > job.cancelled_at + few_seconds)
        violate(task + " started after its cancellation was answered");

    check_resume(start);

    // The checkpoint that the log holds is the least that a new attempt may resume from.
    job_fold fold;
    for (std::size_t i = 0; i < log_.size(); ++i)
        fold.apply(log_offset(i + 1), log_.record(i));
    const job_record* record = fold.find(job_key(key));
    const std::optional<task_name> name = parse_task_id(task);
    if (!record)
        return violate(task + " started before its job was in the log");
    const auto outcome = record->tasks.find(name->index);
    if (outcome == record->tasks.end())
        return;
    if (outcome->second.final && outcome->second.attempt < attempt_number(start.key().attempt()))
        violate(task + " started again after its end was logged");
    if (standin::checkpoint_work(start.checkpoint()) <
        standin::checkpoint_work(outcome->second.checkpoint))
        violate(task + " resumed from an older checkpoint than the log holds");
}

// While workers stay up and reachable no end can be lost: finished work never starts again, and the
// rest resumes from the newest checkpoint that any worker wrote.
void history::check_resume(const pb::StartTask& start) {
    if (with_.worker_faults || with_.partitions)
        return;
    const std::string& task = start.key().task();
    double newest = 0;
    for (const worker& one : workers_) {
        const auto seen = one.model->histories().find(task);
        if (seen == one.model->histories().end())
            continue;
        if (seen->second.finished > 0)
            violate(task + " started again after it had finished");
        newest = std::max(newest, seen->second.checkpoint_ms);
    }
    const std::string key = task.substr(0, task.rfind('/'));
    const bool older = standin::checkpoint_work(start.checkpoint()) < newest;
    if (older && jobs_[key].spec.checkpointable())
        violate(task + " resumed from an older checkpoint than a worker wrote");
}

void history::check_workers(const worker& changed) {
    if (!fits(changed.model->committed(), changed.spec.capacity))
        violate(changed.spec.name.str() + " is committed to " +
                to_string(changed.model->committed()));
    std::map<std::string, std::string> running;
    for (const worker& one : workers_) {
        one.model->advance(now_);
        for (const auto& [task, state] : one.model->running()) {
            const auto [place, inserted] = running.emplace(task, one.spec.name.str());
            if (!inserted)
                violate(task + " runs on " + place->second + " and " + one.spec.name.str());
        }
    }
}

void history::violate(const std::string& what) {
    if (!violation_.empty())
        return;
    const auto after = std::chrono::duration_cast<std::chrono::milliseconds>(now_ - began_);
    violation_ = "seed " + std::to_string(with_.seed) + " after " + std::to_string(after.count()) +
                 " ms: " + what;
}

void history::heal() {
    log_.available = true;
    for (node& one : nodes_) {
        one.frozen_until = std::min(one.frozen_until, now_);
        one.cut_log_until = one.cut_peers_until = one.cut_workers_until = now_;
        if (!one.alive)
            launch(one);
    }
    for (worker& one : workers_) {
        one.cut_until = std::min(one.cut_until, now_);
        one.frozen_until = std::min(one.frozen_until, now_);
    }
    for (const data_centre_spec& spec : std::vector(manifest_->data_centres)) {
        if (!spec.in_service)
            set_centre(spec.name, true);
    }
}

bool history::all_done() const {
    const auto accepted =
        std::ranges::count_if(jobs_, [](const auto& each) { return each.second.accepted; });
    if (accepted < with_.jobs)
        return false;
    job_fold fold;
    for (std::size_t i = 0; i < log_.size(); ++i)
        fold.apply(log_offset(i + 1), log_.record(i));
    return std::ranges::all_of(jobs_, [&fold](const auto& each) {
        const job_record* record = fold.find(job_key(each.first));
        return record && record->is_done();
    });
}

void history::check_all_done() {
    job_fold fold;
    for (std::size_t i = 0; i < log_.size(); ++i)
        fold.apply(log_offset(i + 1), log_.record(i));
    for (const auto& [key, job] : jobs_) {
        const job_record* record = fold.find(job_key(key));
        if (!job.accepted)
            violate(key + " was never accepted");
        else if (!record)
            violate(key + " was accepted and is not in the log");
        else if (!record->is_done())
            violate(key + " was accepted and never ended; owner " + record->owner.str());
        else if (job.cancelled && !record->cancelled)
            violate(key + " was cancelled and the log does not know");
    }
}

void history::run() {
    run_until(began_ + with_.length);
    heal();
    const instant limit = now_ + settle_limit;
    while (violation_.empty() && now_ < limit && !all_done())
        run_until(now_ + 5s);
    if (violation_.empty())
        check_all_done();
}

} // namespace figwinch::testing
